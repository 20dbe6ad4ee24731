use std::time::Duration;

use arbutus_core::config::RequestPolicy;

/// Parameters of one run.
#[derive(Debug, Clone)]
pub(super) struct Load {
    /// Number of agents, each with one backend server.
    pub(super) agents: u16,
    /// Request policy of the service.
    pub(super) policy: RequestPolicy,
    /// Offered load, in percent of the capacity of all slots.
    pub(super) offered_percent: u32,
    /// Mean of the exponential service time.
    pub(super) mean_service_time: Duration,
    /// Number of backend servers at which every request fails.
    pub(super) failing_servers: u16,
}
