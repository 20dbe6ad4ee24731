use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use super::{ControlMetrics, OutcomeLabel, ReasonLabel};

/// The metrics of an agent.
#[derive(Debug, Clone, Default)]
pub struct AgentMetrics {
    /// Metrics of the control plane.
    pub control: ControlMetrics,
    /// New flows, by admission decision.
    pub admissions: Family<ReasonLabel, Counter>,
    /// Datagrams dropped, by reason.
    pub dropped: Family<ReasonLabel, Counter>,
    /// Open caller connections.
    pub connections: Gauge,
    /// Requests that are running or queued.
    pub in_flight: Gauge,
    /// Finished requests, by outcome.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Connections that ended without a close by either end.
    pub broken_flows: Counter,
    /// Coefficient of variation of in-flight requests across the service's agents, in thousandths.
    pub imbalance_thousandths: Gauge,
}

impl AgentMetrics {
    /// Registers the metrics in `registry`.
    pub fn register(&self, registry: &mut Registry) {
        self.control.register(registry);
        registry.register(
            "arbutus_admissions",
            "New flows by the decision on them",
            self.admissions.clone(),
        );
        registry.register(
            "arbutus_dropped_datagrams",
            "Datagrams dropped",
            self.dropped.clone(),
        );
        registry.register(
            "arbutus_connections",
            "Open caller connections",
            self.connections.clone(),
        );
        registry.register(
            "arbutus_requests_in_hand",
            "Requests that run or wait",
            self.in_flight.clone(),
        );
        registry.register(
            "arbutus_requests",
            "Requests that ended",
            self.requests.clone(),
        );
        registry.register(
            "arbutus_broken_flows",
            "Connections that ended otherwise than by a close",
            self.broken_flows.clone(),
        );
        registry.register(
            "arbutus_imbalance_thousandths",
            "Coefficient of variation of work in hand over the service's agents, in thousandths",
            self.imbalance_thousandths.clone(),
        );
    }
}
