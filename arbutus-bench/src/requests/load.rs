use std::time::Duration;

use arbutus_core::config::RequestPolicy;

/// What a run is made of.
#[derive(Debug, Clone)]
pub(super) struct Load {
    pub(super) agents: u16,
    pub(super) policy: RequestPolicy,
    /// Requests offered, in percent of what all slots carry.
    pub(super) offered_percent: u32,
    pub(super) mean_service_time: Duration,
    /// Backend servers, of all, at which every request fails.
    pub(super) failing_servers: u16,
}
