use std::{collections::VecDeque, net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use super::{FlowKey, FlowPolicy};
use crate::time::Timestamp;

/// Where a flow went that this agent did not take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Passed {
    /// The agent it went to.
    pub(super) to: SocketAddrV4,
    /// Hops of the first datagram when it came here.
    pub(super) hops: u8,
    at: Timestamp,
}

/// A bounded memory of flows passed on, so that the datagrams of one first flight stay together.
#[derive(Debug, Default)]
pub(super) struct PassMemory {
    entries: IndexMap<FlowKey, Passed>,
    /// Each entry once for each time it was set, oldest first.
    order: VecDeque<(Timestamp, FlowKey)>,
}

impl PassMemory {
    pub(super) fn get(&self, flow: &FlowKey) -> Option<Passed> {
        self.entries.get(flow).copied()
    }

    /// Remembers one flow; gives back how many had to be forgotten early.
    pub(super) fn insert(
        &mut self,
        flow: FlowKey,
        to: SocketAddrV4,
        hops: u8,
        policy: &FlowPolicy,
        now: Timestamp,
    ) -> u64 {
        let mut forgotten = 0;
        while self.order.len() >= policy.memory_entries {
            forgotten += u64::from(self.pop());
        }
        self.entries.insert(flow, Passed { to, hops, at: now });
        self.order.push_back((now, flow));
        forgotten
    }

    pub(super) fn remove(&mut self, flow: &FlowKey) {
        self.entries.swap_remove(flow);
    }

    pub(super) fn expire(&mut self, policy: &FlowPolicy, now: Timestamp) {
        let length = Duration::from_millis(policy.memory_ms);
        while self
            .order
            .front()
            .is_some_and(|(at, _)| *at + length <= now)
        {
            self.pop();
        }
    }

    pub(super) fn next_expiry(&self, policy: &FlowPolicy) -> Option<Timestamp> {
        let (at, _) = self.order.front()?;
        Some(*at + Duration::from_millis(policy.memory_ms))
    }

    /// Drops the oldest entry; tells whether it was still the one in force.
    fn pop(&mut self) -> bool {
        let Some((at, flow)) = self.order.pop_front() else {
            return false;
        };
        let in_force = self.entries.get(&flow).is_some_and(|entry| entry.at == at);
        if in_force {
            self.entries.swap_remove(&flow);
        }
        in_force
    }
}
