use std::{collections::VecDeque, net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use super::{FlowKey, FlowPolicy};
use crate::time::Timestamp;

/// The target of a flow that this agent passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PassedFlow {
    /// The agent that the flow was passed on to.
    pub(super) to: SocketAddrV4,
    /// Hop count of the first datagram when it arrived here.
    pub(super) hops: u8,
    passed_at: Timestamp,
}

/// A bounded table of passed-on flows, which keeps the datagrams of one first flight together.
#[derive(Debug, Default)]
pub(super) struct PassedFlows {
    entries: IndexMap<FlowKey, PassedFlow>,
    /// The time of each insertion with its flow, oldest first. A flow that was inserted again or
    /// removed leaves an outdated element.
    order: VecDeque<(Timestamp, FlowKey)>,
}

impl PassedFlows {
    pub(super) fn get(&self, flow: &FlowKey) -> Option<PassedFlow> {
        self.entries.get(flow).copied()
    }

    /// Inserts a flow. Returns the number of entries evicted early to make space.
    pub(super) fn insert(
        &mut self,
        flow: FlowKey,
        to: SocketAddrV4,
        hops: u8,
        policy: &FlowPolicy,
        now: Timestamp,
    ) -> u64 {
        let mut evicted = 0;
        while self.order.len() >= policy.max_passed_flows {
            evicted += u64::from(self.remove_oldest());
        }
        self.entries.insert(
            flow,
            PassedFlow {
                to,
                hops,
                passed_at: now,
            },
        );
        self.order.push_back((now, flow));
        evicted
    }

    pub(super) fn remove(&mut self, flow: &FlowKey) {
        self.entries.swap_remove(flow);
    }

    pub(super) fn expire(&mut self, policy: &FlowPolicy, now: Timestamp) {
        let ttl = Duration::from_millis(policy.passed_flow_ttl_ms);
        while self.order.front().is_some_and(|(at, _)| *at + ttl <= now) {
            self.remove_oldest();
        }
    }

    pub(super) fn next_expiry(&self, policy: &FlowPolicy) -> Option<Timestamp> {
        let (at, _) = self.order.front()?;
        Some(*at + Duration::from_millis(policy.passed_flow_ttl_ms))
    }

    /// Drops the oldest element of `order`. Returns whether it was still current, so that the entry
    /// was removed too.
    fn remove_oldest(&mut self) -> bool {
        let Some((at, flow)) = self.order.pop_front() else {
            return false;
        };
        let is_current = self
            .entries
            .get(&flow)
            .is_some_and(|entry| entry.passed_at == at);
        if is_current {
            self.entries.swap_remove(&flow);
        }
        is_current
    }
}
