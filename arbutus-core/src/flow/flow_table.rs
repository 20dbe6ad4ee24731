use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;

use super::{FlowKey, FlowPolicy};
use crate::time::Timestamp;

/// An admitted flow.
#[derive(Debug, Clone, Copy)]
struct Flow {
    admitted_at: Timestamp,
    /// Whether the QUIC endpoint has opened a connection for the flow.
    open: bool,
    /// Whether the flow counts as an in-flight request although none has arrived yet.
    expects_request: bool,
}

/// The flows that this agent has admitted.
#[derive(Debug, Default)]
pub(super) struct FlowTable {
    flows: IndexMap<FlowKey, Flow>,
    /// Unopened flows in order of admission. Entries stay until the pending timeout, also after the
    /// flow has opened or ended.
    pending: VecDeque<(Timestamp, FlowKey)>,
    /// Flows in order of admission, until the expectation of a first request expires.
    awaiting_request: VecDeque<(Timestamp, FlowKey)>,
    /// Number of flows with `expects_request` set.
    expected_requests: u32,
}

impl FlowTable {
    pub(super) fn contains(&self, flow: &FlowKey) -> bool {
        self.flows.contains_key(flow)
    }

    pub(super) fn connections(&self) -> u32 {
        u32::try_from(self.flows.len()).unwrap_or(u32::MAX)
    }

    pub(super) const fn expected_requests(&self) -> u32 {
        self.expected_requests
    }

    pub(super) fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    pub(super) fn insert(&mut self, key: FlowKey, open: bool, now: Timestamp) {
        let flow = Flow {
            admitted_at: now,
            open,
            expects_request: true,
        };
        self.flows.insert(key, flow);
        self.expected_requests += 1;
        self.awaiting_request.push_back((now, key));
        if !open {
            self.pending.push_back((now, key));
        }
    }

    /// Marks a flow as open. Returns `false` if the flow is not in the table.
    pub(super) fn mark_open(&mut self, key: &FlowKey) -> bool {
        let Some(flow) = self.flows.get_mut(key) else {
            return false;
        };
        flow.open = true;
        true
    }

    /// Records that the first request of a flow has arrived or is no longer expected.
    pub(super) fn record_request(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.get_mut(key) {
            self.expected_requests -= u32::from(flow.expects_request);
            flow.expects_request = false;
        }
    }

    /// Removes a flow. Returns `false` if the flow is not in the table.
    pub(super) fn remove(&mut self, key: &FlowKey) -> bool {
        let Some(flow) = self.flows.swap_remove(key) else {
            return false;
        };
        self.expected_requests -= u32::from(flow.expects_request);
        true
    }

    /// Removes flows that did not open in time, and drops the expectation of a first request where
    /// it has expired. Returns the number of removed flows.
    pub(super) fn expire(&mut self, policy: &FlowPolicy, now: Timestamp) -> u64 {
        while let Some(entry) = pop_older(
            &mut self.awaiting_request,
            policy.expected_request_ttl_ms,
            now,
        ) {
            if self.is_current(&entry) {
                self.record_request(&entry.1);
            }
        }
        let mut expired = 0;
        while let Some(entry) = pop_older(&mut self.pending, policy.pending_timeout_ms, now) {
            let unopened = self.flows.get(&entry.1).is_some_and(|flow| !flow.open);
            if unopened && self.is_current(&entry) {
                self.remove(&entry.1);
                expired += 1;
            }
        }
        expired
    }

    pub(super) fn next_expiry(&self, policy: &FlowPolicy) -> Option<Timestamp> {
        let settled = self.awaiting_request.front();
        let settled =
            settled.map(|(at, _)| *at + Duration::from_millis(policy.expected_request_ttl_ms));
        let opened = self.pending.front();
        let opened = opened.map(|(at, _)| *at + Duration::from_millis(policy.pending_timeout_ms));
        settled.into_iter().chain(opened).min()
    }

    /// Returns whether a queue entry refers to the current flow, not to an earlier one.
    fn is_current(&self, (at, key): &(Timestamp, FlowKey)) -> bool {
        self.flows
            .get(key)
            .is_some_and(|flow| flow.admitted_at == *at)
    }
}

/// Removes and returns the front entry of `queue` if it is at least `age_ms` old.
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
