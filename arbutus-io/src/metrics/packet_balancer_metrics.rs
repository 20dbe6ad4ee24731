use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use super::{ReasonLabel, StoreMetrics};

/// The metrics of a balancer of packet flows.
#[derive(Debug, Clone)]
pub struct PacketBalancerMetrics {
    /// Packets relayed to agents.
    pub relayed: Counter,
    /// New flows for which an agent was chosen.
    pub placed: Counter,
    /// Open flows whose owner was unknown and had to be looked up.
    pub looked_up: Counter,
    /// Query datagrams sent to agents, each with questions about up to several dozen flows.
    pub queries: Counter,
    /// Flows reset because no agent owns them.
    pub resets: Counter,
    /// Packets dropped, by reason.
    pub dropped: Family<ReasonLabel, Counter>,
    /// Datagrams that the kernel did not accept for sending.
    pub send_failed: Counter,
    /// Known agents.
    pub agents: Gauge,
    /// Flows with a recorded agent.
    pub flows: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Calls to the store for the agents that it lists, before a flow may be reset.
    pub store_checks: Counter,
    /// Rounds of queries to seeds for agents that the store does not list, before a flow may be
    /// reset.
    pub seed_queries: Counter,
    /// Calls to the store.
    pub store: StoreMetrics,
}

impl PacketBalancerMetrics {
    /// Creates metrics that are all zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            relayed: Counter::default(),
            placed: Counter::default(),
            looked_up: Counter::default(),
            queries: Counter::default(),
            resets: Counter::default(),
            dropped: Family::default(),
            send_failed: Counter::default(),
            agents: Gauge::default(),
            flows: Gauge::default(),
            config_version: Gauge::default(),
            store_checks: Counter::default(),
            seed_queries: Counter::default(),
            store: StoreMetrics::new(),
        }
    }

    /// Registers the metrics in `registry`.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "arbutus_relayed_packets",
            "Packets sent to agents",
            self.relayed.clone(),
        );
        registry.register(
            "arbutus_placed_flows",
            "New flows placed",
            self.placed.clone(),
        );
        registry.register(
            "arbutus_searched_flows",
            "Open flows that were asked for",
            self.looked_up.clone(),
        );
        registry.register(
            "arbutus_queries",
            "Datagrams with questions to agents",
            self.queries.clone(),
        );
        registry.register(
            "arbutus_flow_resets",
            "Flows given up because nobody holds them",
            self.resets.clone(),
        );
        registry.register(
            "arbutus_dropped_packets",
            "Packets dropped",
            self.dropped.clone(),
        );
        registry.register(
            "arbutus_send_failures",
            "Datagrams that the kernel did not take",
            self.send_failed.clone(),
        );
        registry.register("arbutus_agents", "Agents known", self.agents.clone());
        registry.register("arbutus_flows", "Flows remembered", self.flows.clone());
        registry.register(
            "arbutus_config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "arbutus_store_checks",
            "Calls to the store for the agents that it lists, before a flow may be reset",
            self.store_checks.clone(),
        );
        registry.register(
            "arbutus_seed_queries",
            "Queries to seeds for agents that the store does not list, before a flow may be reset",
            self.seed_queries.clone(),
        );
        self.store.register(registry);
    }
}

impl Default for PacketBalancerMetrics {
    fn default() -> Self {
        Self::new()
    }
}
