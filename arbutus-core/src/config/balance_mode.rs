use serde::{Deserialize, Serialize};

/// What a service weighs more when the two cannot both be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalanceMode {
    /// A flow and all its requests stay at one backend server.
    #[default]
    Stay,
    /// A repeatable request may be passed on to a peer with room.
    Spread,
}
