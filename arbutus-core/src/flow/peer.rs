use std::{collections::VecDeque, net::SocketAddrV4, time::Duration};

use super::{FlowPolicy, Load, LoadReport};
use crate::{
    ident::Incarnation,
    roster::{AgentRecord, AgentState},
    time::Timestamp,
};

/// The roster's record of a peer.
#[derive(Debug, Clone, Copy)]
struct Listed {
    incarnation: Incarnation,
    state: AgentState,
}

/// The latest load report of a peer and its arrival time.
#[derive(Debug, Clone, Copy)]
struct ReceivedReport {
    report: LoadReport,
    received_at: Timestamp,
}

/// The state kept for another agent of the service.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// The control address from the latest roster record; kept when the peer is no longer listed.
    control: Option<SocketAddrV4>,
    listed: Option<Listed>,
    last_report: Option<ReceivedReport>,
    /// Send times of flows that the last report may not include yet; oldest first.
    sent: VecDeque<Timestamp>,
}

impl Peer {
    pub(super) fn set_listed(&mut self, record: &AgentRecord) {
        self.control = Some(record.control);
        self.listed = Some(Listed {
            incarnation: record.incarnation,
            state: record.state,
        });
    }

    pub(super) fn clear_listed(&mut self) {
        self.listed = None;
    }

    /// Records a report. Returns `false` if a later one has already been received.
    pub(super) fn record_report(
        &mut self,
        report: LoadReport,
        policy: &FlowPolicy,
        now: Timestamp,
    ) -> bool {
        let last = self.last_report.as_ref();
        if last.is_some_and(|last| !report.is_newer_than(&last.report)) {
            return false;
        }
        self.last_report = Some(ReceivedReport {
            report,
            received_at: now,
        });
        let in_flight = Duration::from_millis(policy.in_flight_ms);
        while self.sent.front().is_some_and(|at| *at + in_flight <= now) {
            self.sent.pop_front();
        }
        true
    }

    pub(super) fn record_sent_flow(&mut self, now: Timestamp) {
        self.sent.push_back(now);
    }

    /// Returns whether the last report is recent enough to be used.
    pub(super) fn is_fresh(&self, policy: &FlowPolicy, now: Timestamp) -> bool {
        let max_age = Duration::from_millis(policy.report_max_age_ms);
        self.last_report
            .as_ref()
            .is_some_and(|last| now.since(last.received_at) < max_age)
    }

    /// Returns the peer's load including flows recently sent to it, if there is a fresh report.
    pub(super) fn load(&self, policy: &FlowPolicy, now: Timestamp) -> Option<Load> {
        if !self.is_fresh(policy, now) || self.has_left() {
            return None;
        }
        let sent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let last = self.last_report.as_ref()?;
        Some(last.report.load().with_added_flows(sent))
    }

    /// Returns whether the peer is known to refuse new flows.
    pub(super) fn refuses_new_flows(&self, policy: &FlowPolicy, now: Timestamp) -> bool {
        if let Some(load) = self.load(policy, now) {
            return load.weight_permille == 0;
        }
        self.has_left()
            || self
                .listed
                .is_some_and(|listed| !listed.state.takes_new_flows())
    }

    /// Returns whether a flow that was just sent to the peer may be lost.
    ///
    /// For a peer that the roster lists as ready or draining, missing reports alone do not count:
    /// the peer may currently report to other agents.
    pub(super) fn is_presumed_lost(&self, policy: &FlowPolicy, now: Timestamp) -> bool {
        let state = self.listed.map(|listed| listed.state);
        match state {
            Some(AgentState::Ready | AgentState::Draining) => false,
            Some(AgentState::Gone) => self.has_left(),
            Some(AgentState::Suspect) | None => !self.is_fresh(policy, now),
        }
    }

    /// Returns the address to send reports to, unless the roster lists the peer as gone.
    pub(super) fn report_address(&self) -> Option<SocketAddrV4> {
        let is_gone = self
            .listed
            .is_some_and(|listed| listed.state == AgentState::Gone);
        self.control.filter(|_| !is_gone)
    }

    /// Returns whether the peer is listed or has a fresh report, and so must be kept.
    pub(super) fn is_known(&self, policy: &FlowPolicy, now: Timestamp) -> bool {
        self.listed.is_some() || self.is_fresh(policy, now)
    }

    /// Returns whether the roster lists the incarnation that reported as draining or gone.
    ///
    /// Suspicion alone does not invalidate a fresh report.
    fn has_left(&self) -> bool {
        let Some(listed) = self.listed else {
            return false;
        };
        let is_leaving = matches!(listed.state, AgentState::Draining | AgentState::Gone);
        let reported = self
            .last_report
            .as_ref()
            .map(|last| last.report.incarnation);
        is_leaving && reported.is_none_or(|incarnation| listed.incarnation >= incarnation)
    }
}
