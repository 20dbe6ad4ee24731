use std::{collections::VecDeque, net::SocketAddrV4, time::Duration};

use super::{FlowPolicy, Load, LoadReport};
use crate::{
    ident::Incarnation,
    roster::{AgentRecord, AgentState},
    time::Timestamp,
};

/// What the roster says of a peer.
#[derive(Debug, Clone, Copy)]
struct Listed {
    incarnation: Incarnation,
    state: AgentState,
}

/// What a peer said of itself.
#[derive(Debug, Clone, Copy)]
struct Heard {
    report: LoadReport,
    at: Timestamp,
}

/// Another agent of the service.
#[derive(Debug, Default)]
pub(super) struct Peer {
    control: Option<SocketAddrV4>,
    listed: Option<Listed>,
    heard: Option<Heard>,
    /// When flows were sent there that the last report cannot count yet; oldest first.
    sent: VecDeque<Timestamp>,
}

impl Peer {
    pub(super) fn list(&mut self, record: &AgentRecord) {
        self.control = Some(record.control);
        self.listed = Some(Listed {
            incarnation: record.incarnation,
            state: record.state,
        });
    }

    pub(super) fn unlist(&mut self) {
        self.listed = None;
    }

    /// Takes in a report; gives `false` where a later one is known.
    pub(super) fn hear(&mut self, report: LoadReport, policy: &FlowPolicy, now: Timestamp) -> bool {
        let known = self.heard.as_ref();
        if known.is_some_and(|heard| !report.is_newer_than(&heard.report)) {
            return false;
        }
        self.heard = Some(Heard { report, at: now });
        let in_flight = Duration::from_millis(policy.in_flight_ms);
        while self.sent.front().is_some_and(|at| *at + in_flight <= now) {
            self.sent.pop_front();
        }
        true
    }

    pub(super) fn note_sent(&mut self, now: Timestamp) {
        self.sent.push_back(now);
    }

    pub(super) fn is_fresh(&self, policy: &FlowPolicy, now: Timestamp) -> bool {
        let age_limit = Duration::from_millis(policy.report_stale_ms);
        self.heard
            .as_ref()
            .is_some_and(|heard| now.since(heard.at) < age_limit)
    }

    /// Its load with the flows just sent there, where a fresh report tells it.
    pub(super) fn load(&self, policy: &FlowPolicy, now: Timestamp) -> Option<Load> {
        if !self.is_fresh(policy, now) || self.has_left() {
            return None;
        }
        let sent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let heard = self.heard.as_ref()?;
        Some(heard.report.load().with_added_flows(sent))
    }

    /// Whether a new flow sent there would surely not be taken.
    pub(super) fn takes_none(&self, policy: &FlowPolicy, now: Timestamp) -> bool {
        if let Some(load) = self.load(policy, now) {
            return load.weight_permille == 0;
        }
        self.has_left() || self.listed.is_some_and(|it| !it.state.takes_new_flows())
    }

    /// Whether a flow sent there a moment ago may be lost. Silence alone does not say so of a peer
    /// that the roster holds for ready, since it may report to others now.
    pub(super) fn is_lost(&self, policy: &FlowPolicy, now: Timestamp) -> bool {
        let state = self.listed.map(|listed| listed.state);
        match state {
            Some(AgentState::Ready | AgentState::Draining) => false,
            Some(AgentState::Gone) => self.has_left(),
            Some(AgentState::Suspect) | None => !self.is_fresh(policy, now),
        }
    }

    pub(super) fn report_address(&self) -> Option<SocketAddrV4> {
        let gone = self.listed.is_some_and(|it| it.state == AgentState::Gone);
        self.control.filter(|_| !gone)
    }

    /// Whether anything is known that is worth keeping.
    pub(super) fn is_known(&self, policy: &FlowPolicy, now: Timestamp) -> bool {
        self.listed.is_some() || self.is_fresh(policy, now)
    }

    /// Whether the roster says that the incarnation which reported takes no new flows. Suspicion
    /// alone does not count against a fresh report.
    fn has_left(&self) -> bool {
        let Some(listed) = self.listed else {
            return false;
        };
        let says_so = matches!(listed.state, AgentState::Draining | AgentState::Gone);
        let reported = self.heard.as_ref().map(|heard| heard.report.incarnation);
        says_so && reported.is_none_or(|incarnation| listed.incarnation >= incarnation)
    }
}
