use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

use super::{FlowKey, FlowPolicy};
use crate::time::Timestamp;

/// One admitted flow.
#[derive(Debug, Clone, Copy)]
struct Flow {
    admitted: Timestamp,
    /// Whether the QUIC endpoint holds a connection for it.
    open: bool,
    /// Whether it counts as a request in hand although none has come.
    expects_request: bool,
}

/// The flows that this agent has admitted.
#[derive(Debug, Default)]
pub(super) struct FlowTable {
    flows: IndexMap<FlowKey, Flow>,
    /// Flows in the order of admission, until they have opened or failed to.
    pending: VecDeque<(Timestamp, FlowKey)>,
    /// Flows in the order of admission, until they have settled.
    settling: VecDeque<(Timestamp, FlowKey)>,
    /// How many flows have `expects_request` set.
    expected: u32,
}

impl FlowTable {
    pub(super) fn contains(&self, flow: &FlowKey) -> bool {
        self.flows.contains_key(flow)
    }

    pub(super) fn connections(&self) -> u32 {
        u32::try_from(self.flows.len()).unwrap_or(u32::MAX)
    }

    pub(super) const fn expected_requests(&self) -> u32 {
        self.expected
    }

    pub(super) fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    pub(super) fn insert(&mut self, key: FlowKey, open: bool, now: Timestamp) {
        let flow = Flow {
            admitted: now,
            open,
            expects_request: true,
        };
        self.flows.insert(key, flow);
        self.expected += 1;
        self.settling.push_back((now, key));
        if !open {
            self.pending.push_back((now, key));
        }
    }

    /// Marks a flow as open; gives `false` where it is not known.
    pub(super) fn open(&mut self, key: &FlowKey) -> bool {
        let Some(flow) = self.flows.get_mut(key) else {
            return false;
        };
        flow.open = true;
        true
    }

    pub(super) fn note_request(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.get_mut(key) {
            self.expected -= u32::from(flow.expects_request);
            flow.expects_request = false;
        }
    }

    /// Ends a flow; gives `false` where it is not known.
    pub(super) fn remove(&mut self, key: &FlowKey) -> bool {
        let Some(flow) = self.flows.swap_remove(key) else {
            return false;
        };
        self.expected -= u32::from(flow.expects_request);
        true
    }

    /// Forgets flows that did not open in time, and expects no request of flows that have
    /// settled; gives back how many were forgotten.
    pub(super) fn expire(&mut self, policy: &FlowPolicy, now: Timestamp) -> u64 {
        while let Some(key) = pop_older(&mut self.settling, policy.settle_ms, now) {
            if self.is_admission(&key) {
                self.note_request(&key.1);
            }
        }
        let mut forgotten = 0;
        while let Some(key) = pop_older(&mut self.pending, policy.pending_ms, now) {
            let unopened = self.flows.get(&key.1).is_some_and(|flow| !flow.open);
            if unopened && self.is_admission(&key) {
                self.remove(&key.1);
                forgotten += 1;
            }
        }
        forgotten
    }

    pub(super) fn next_expiry(&self, policy: &FlowPolicy) -> Option<Timestamp> {
        let settled = self.settling.front();
        let settled = settled.map(|(at, _)| *at + Duration::from_millis(policy.settle_ms));
        let opened = self.pending.front();
        let opened = opened.map(|(at, _)| *at + Duration::from_millis(policy.pending_ms));
        settled.into_iter().chain(opened).min()
    }

    /// Whether an entry of a queue is about the flow as it stands, not an earlier one.
    fn is_admission(&self, (at, key): &(Timestamp, FlowKey)) -> bool {
        self.flows.get(key).is_some_and(|flow| flow.admitted == *at)
    }
}

fn pop_older(
    queue: &mut VecDeque<(Timestamp, FlowKey)>,
    age_ms: u64,
    now: Timestamp,
) -> Option<(Timestamp, FlowKey)> {
    let (at, _) = queue.front()?;
    if *at + Duration::from_millis(age_ms) > now {
        return None;
    }
    queue.pop_front()
}
