use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use super::{ReasonLabel, StoreMetrics};

/// The metrics of an agent of packet flows.
#[derive(Debug, Clone)]
pub struct PacketAgentMetrics {
    /// Packets sent to the backend server.
    pub to_backend: Counter,
    /// Packets sent to callers.
    pub to_callers: Counter,
    /// Admitted new flows.
    pub admitted: Counter,
    /// Packets passed on to other agents, by reason.
    pub passed_on: Family<ReasonLabel, Counter>,
    /// Packets dropped, by reason.
    pub dropped: Family<ReasonLabel, Counter>,
    /// Flows reset because the backend server no longer has them.
    pub resets: Counter,
    /// Datagrams that the kernel did not accept for sending.
    pub send_failed: Counter,
    /// Heartbeats of the backend server, by outcome.
    pub heartbeats: Family<ReasonLabel, Counter>,
    /// Flows that the agent owns.
    pub flows: Gauge,
    /// Time from a caller's data to the first packet of the answer, in seconds.
    pub answer_seconds: Histogram,
    /// Calls to the store.
    pub store: StoreMetrics,
}

impl PacketAgentMetrics {
    /// Creates metrics that are all zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            to_backend: Counter::default(),
            to_callers: Counter::default(),
            admitted: Counter::default(),
            passed_on: Family::default(),
            dropped: Family::default(),
            resets: Counter::default(),
            send_failed: Counter::default(),
            heartbeats: Family::default(),
            flows: Gauge::default(),
            answer_seconds: Histogram::new(super::ANSWER_BUCKETS_S),
            store: StoreMetrics::new(),
        }
    }

    /// Registers the metrics in `registry`.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "arbutus_to_backend_packets",
            "Packets given to the backend server",
            self.to_backend.clone(),
        );
        registry.register(
            "arbutus_to_caller_packets",
            "Packets sent to callers",
            self.to_callers.clone(),
        );
        registry.register(
            "arbutus_admitted_flows",
            "New flows taken",
            self.admitted.clone(),
        );
        registry.register(
            "arbutus_passed_on_packets",
            "Packets sent on to other agents",
            self.passed_on.clone(),
        );
        registry.register(
            "arbutus_dropped_packets",
            "Packets dropped",
            self.dropped.clone(),
        );
        registry.register(
            "arbutus_flow_resets",
            "Flows given up because the backend server lost them",
            self.resets.clone(),
        );
        registry.register(
            "arbutus_send_failures",
            "Datagrams that the kernel did not take",
            self.send_failed.clone(),
        );
        registry.register(
            "arbutus_heartbeats",
            "Heartbeats of the backend server",
            self.heartbeats.clone(),
        );
        registry.register("arbutus_flows", "Flows held", self.flows.clone());
        registry.register(
            "arbutus_answer_seconds",
            "Time from a caller's data to the first of the answer",
            self.answer_seconds.clone(),
        );
        self.store.register(registry);
    }
}

impl Default for PacketAgentMetrics {
    fn default() -> Self {
        Self::new()
    }
}
