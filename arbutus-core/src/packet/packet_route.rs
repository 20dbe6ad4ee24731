use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::RouteTarget;

/// What the configuration says of one service address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PacketRoute {
    /// The route's name, for the log.
    pub name: Arc<str>,
    /// Where new flows go.
    pub targets: Vec<RouteTarget>,
}

impl PacketRoute {
    /// The target of a new flow with the hash `flow`; every process gives the same one.
    #[must_use]
    pub fn target(&self, flow: u64) -> Option<&RouteTarget> {
        let total: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        if total == 0 {
            return self.targets.first();
        }
        // The low bits choose the agent; the high ones the target.
        let mut point = (flow >> 32) % total;
        self.targets.iter().find(|it| {
            let weight = u64::from(it.weight);
            let hit = point < weight;
            point = point.saturating_sub(weight);
            hit
        })
    }
}
