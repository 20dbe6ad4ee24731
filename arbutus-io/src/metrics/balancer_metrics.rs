use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use super::{ControlMetrics, ReasonLabel};

/// The metrics of a balancer.
#[derive(Debug, Clone, Default)]
pub struct BalancerMetrics {
    /// Metrics of the control plane.
    pub control: ControlMetrics,
    /// Datagrams of established flows that were sent to their agents.
    pub forwarded: Counter,
    /// Opening datagrams that were sent to a candidate agent.
    pub opened: Counter,
    /// Datagrams returned to callers.
    pub returned: Counter,
    /// Datagrams dropped, by reason.
    pub dropped: Family<ReasonLabel, Counter>,
    /// Agents that accept new flows.
    pub agents_ready: Gauge,
}

impl BalancerMetrics {
    /// Registers the metrics in `registry`.
    pub fn register(&self, registry: &mut Registry) {
        self.control.register(registry);
        registry.register(
            "arbutus_forwarded_datagrams",
            "Datagrams of established flows sent to agents",
            self.forwarded.clone(),
        );
        registry.register(
            "arbutus_opening_datagrams",
            "Opening datagrams sent to a candidate",
            self.opened.clone(),
        );
        registry.register(
            "arbutus_returned_datagrams",
            "Datagrams returned to callers",
            self.returned.clone(),
        );
        registry.register(
            "arbutus_dropped_datagrams",
            "Datagrams dropped",
            self.dropped.clone(),
        );
        registry.register(
            "arbutus_agents_ready",
            "Agents that take new flows",
            self.agents_ready.clone(),
        );
    }
}
