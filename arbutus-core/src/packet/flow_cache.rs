use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use super::{FlowId, eviction};
use crate::time::Timestamp;

/// A balancer's entry for the owner of a flow.
#[derive(Debug, Clone, Copy)]
pub(super) struct CachedFlow {
    pub(super) agent: SocketAddrV4,
    /// Whether the agent has confirmed that it owns the open flow. Otherwise the agent is the one
    /// that the opening segment was sent to or that accepted it.
    pub(super) confirmed: bool,
    pub(super) placed_at: Timestamp,
    pub(super) last_used_at: Timestamp,
}

/// A balancer's cache of flow owners. A lost entry costs further hops or a lookup, but no flow.
#[derive(Debug, Default)]
pub(super) struct FlowCache {
    flows: IndexMap<FlowId, CachedFlow>,
}

impl FlowCache {
    /// The maximum number of entries, which take about 8 MB.
    const MAX_FLOWS: usize = 65_536;

    pub(super) fn get(&mut self, flow: &FlowId, now: Timestamp) -> Option<CachedFlow> {
        let cached = self.flows.get_mut(flow)?;
        cached.last_used_at = now;
        Some(*cached)
    }

    /// Records the agent that an opening segment was sent to, or that accepted it.
    pub(super) fn place(&mut self, flow: FlowId, agent: SocketAddrV4, now: Timestamp) {
        self.insert(flow, agent, false, now);
    }

    /// Records that an agent owns the open flow.
    pub(super) fn confirm(&mut self, flow: FlowId, agent: SocketAddrV4, now: Timestamp) {
        self.insert(flow, agent, true, now);
    }

    fn insert(&mut self, flow: FlowId, agent: SocketAddrV4, confirmed: bool, now: Timestamp) {
        if self.flows.len() >= Self::MAX_FLOWS && !self.flows.contains_key(&flow) {
            eviction::evict_oldest(&mut self.flows);
        }
        let cached = CachedFlow {
            agent,
            confirmed,
            placed_at: now,
            last_used_at: now,
        };
        self.flows.insert(flow, cached);
    }

    /// Removes entries that were not used for `limit`.
    pub(super) fn expire(&mut self, limit: Duration, now: Timestamp) {
        self.flows
            .retain(|_, it| now.since(it.last_used_at) < limit);
    }

    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }
}
