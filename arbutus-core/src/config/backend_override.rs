use serde::{Deserialize, Serialize};

/// What the operator wants of a backend server that announced itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DesiredState {
    /// It takes work.
    #[default]
    Join,
    /// It gets no new work and ends what it has.
    Drain,
    /// It gets no new work, and what it has is given a bounded time to end.
    Leave,
}

/// The operator's word on one backend server of a service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BackendOverride {
    /// What is wanted of it.
    pub state: DesiredState,
    /// Its share of new flows against others of the service, in percent of an equal one.
    pub weight_percent: Option<u32>,
}
