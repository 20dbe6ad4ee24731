use serde::{Deserialize, Serialize};

/// The state that the operator has set for a registered backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DesiredState {
    /// The backend server accepts new flows and requests.
    #[default]
    Join,
    /// The backend server gets no new work and completes the work that it has.
    Drain,
    /// The backend server gets no new work and has a bounded time to complete the work that it has.
    Leave,
}

/// The operator's settings for one backend server of a service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BackendOverride {
    /// Desired state of the backend server.
    pub state: DesiredState,
    /// Weight of the backend server in the placement of new flows, in percent; 100 is an equal
    /// share among the backend servers of the service.
    pub weight_percent: Option<u32>,
}
