use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::RouteTarget;

/// The configuration of one service address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PacketRoute {
    /// The route's name in the log.
    pub name: Arc<str>,
    /// The services that get new flows.
    pub targets: Vec<RouteTarget>,
}

impl PacketRoute {
    /// Returns the target of a new flow with the hash `flow`, which is the same in every process.
    #[must_use]
    pub fn target(&self, flow: u64) -> Option<&RouteTarget> {
        let total: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        if total == 0 {
            return self.targets.first();
        }
        // The low bits of the hash select the agent, the high ones the target.
        let mut point = (flow >> 32) % total;
        self.targets.iter().find(|it| {
            let weight = u64::from(it.weight);
            let hit = point < weight;
            point = point.saturating_sub(weight);
            hit
        })
    }
}
