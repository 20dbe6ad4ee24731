use super::FlowPolicy;

/// What an agent has in hand, against its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Requests that run, wait, or are expected of flows just admitted.
    pub requests: u32,
    /// Open flows.
    pub connections: u32,
    /// Its present share of new flows, in thousandths of an equal one; 0 where it takes none.
    pub weight_permille: u32,
}

impl Load {
    /// The load that one more flow would make, for its share; lower is better.
    ///
    /// Gives `None` where no new flow is taken.
    #[must_use]
    pub fn score(&self, policy: &FlowPolicy) -> Option<u64> {
        if self.weight_permille == 0 {
            return None;
        }
        let requests = (u64::from(self.requests) + 1) * u64::from(policy.request_cost);
        let connections = (u64::from(self.connections) + 1) * u64::from(policy.connection_cost);
        Some((requests + connections) * 1_000 / u64::from(self.weight_permille))
    }

    /// The load after `flows` more flows.
    #[must_use]
    pub const fn with_added_flows(self, flows: u32) -> Self {
        Self {
            requests: self.requests.saturating_add(flows),
            connections: self.connections.saturating_add(flows),
            weight_permille: self.weight_permille,
        }
    }
}
