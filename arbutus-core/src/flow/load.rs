use super::FlowPolicy;

/// The load of an agent and its share of new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// In-flight requests: running, queued, recently shed, or expected from flows just admitted.
    pub requests: u32,
    /// Admitted flows.
    pub connections: u32,
    /// The agent's current share of new flows, in thousandths of an equal share; 0 if the agent
    /// accepts none.
    pub weight_permille: u32,
}

impl Load {
    /// Returns the load with one more flow, relative to the agent's share; lower is better.
    ///
    /// Returns `None` if the agent accepts no new flows.
    #[must_use]
    pub fn score(&self, policy: &FlowPolicy) -> Option<u64> {
        if self.weight_permille == 0 {
            return None;
        }
        let requests = (u64::from(self.requests) + 1) * u64::from(policy.request_cost);
        let connections = (u64::from(self.connections) + 1) * u64::from(policy.connection_cost);
        Some((requests + connections) * 1_000 / u64::from(self.weight_permille))
    }

    /// Returns the load with `flows` more flows, each counted with one request.
    #[must_use]
    pub const fn with_added_flows(self, flows: u32) -> Self {
        Self {
            requests: self.requests.saturating_add(flows),
            connections: self.connections.saturating_add(flows),
            weight_permille: self.weight_permille,
        }
    }
}
