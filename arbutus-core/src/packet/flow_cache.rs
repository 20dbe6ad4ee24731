use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use super::FlowId;
use crate::time::Timestamp;

/// Where a flow is, as far as a balancer knows.
#[derive(Debug, Clone, Copy)]
pub(super) struct CachedFlow {
    pub(super) agent: SocketAddrV4,
    /// Whether the agent said so; otherwise an opening segment was sent there.
    pub(super) confirmed: bool,
    pub(super) placed_at: Timestamp,
    pub(super) used_at: Timestamp,
}

/// A balancer's memory of flows. Losing an entry costs hops and nothing else.
#[derive(Debug, Default)]
pub(super) struct FlowCache {
    flows: IndexMap<FlowId, CachedFlow>,
}

impl FlowCache {
    /// Most flows that are remembered: some 8 MB.
    const MAX_FLOWS: usize = 65_536;

    pub(super) fn get(&mut self, flow: &FlowId, now: Timestamp) -> Option<CachedFlow> {
        let cached = self.flows.get_mut(flow)?;
        cached.used_at = now;
        Some(*cached)
    }

    /// Notes where an opening segment was sent, or by whom it was taken.
    pub(super) fn place(&mut self, flow: FlowId, agent: SocketAddrV4, now: Timestamp) {
        self.insert(flow, agent, false, now);
    }

    /// Notes that an agent holds the open flow.
    pub(super) fn confirm(&mut self, flow: FlowId, agent: SocketAddrV4, now: Timestamp) {
        self.insert(flow, agent, true, now);
    }

    fn insert(&mut self, flow: FlowId, agent: SocketAddrV4, confirmed: bool, now: Timestamp) {
        if self.flows.len() >= Self::MAX_FLOWS && !self.flows.contains_key(&flow) {
            self.flows.swap_remove_index(0);
        }
        let cached = CachedFlow {
            agent,
            confirmed,
            placed_at: now,
            used_at: now,
        };
        self.flows.insert(flow, cached);
    }

    /// Forgets flows that were idle for `limit`.
    pub(super) fn expire(&mut self, limit: Duration, now: Timestamp) {
        self.flows.retain(|_, it| now.since(it.used_at) < limit);
    }

    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }
}
