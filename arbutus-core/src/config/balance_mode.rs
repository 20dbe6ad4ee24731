use serde::{Deserialize, Serialize};

/// Whether a service prefers flow affinity or an even load where the two conflict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalanceMode {
    /// A flow and all of its requests stay at one backend server.
    #[default]
    Stay,
    /// A repeatable request may be forwarded to a peer agent with free capacity.
    Spread,
}
