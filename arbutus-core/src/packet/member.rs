use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use super::{AgentListing, AgentReport, AgentStatus};
use crate::{
    ident::{Incarnation, ServiceTag},
    route,
    time::Timestamp,
};

/// An agent as a balancer knows it.
#[derive(Debug, Clone)]
pub(super) struct Member {
    pub(super) agent: SocketAddrV4,
    /// The agent's part in rendezvous hashing; depends on `agent` alone.
    pub(super) seed: u64,
    pub(super) service: ServiceTag,
    pub(super) failure_domain: Arc<str>,
    pub(super) incarnation: Incarnation,
    /// Whether the store holds a listing of it.
    pub(super) listed: bool,
    /// The last report; always of `incarnation`.
    pub(super) report: Option<AgentReport>,
    pub(super) heard_at: Option<Timestamp>,
    /// When the oldest datagram was sent that nothing was heard after.
    pub(super) unanswered_since: Option<Timestamp>,
    /// New flows sent there since the last report.
    pub(super) placed: u32,
    /// When it became known.
    pub(super) known_at: Timestamp,
}

impl Member {
    pub(super) fn new(listing: &AgentListing, listed: bool, now: Timestamp) -> Self {
        Self {
            agent: listing.agent,
            seed: route::agent_hash(listing.agent),
            service: listing.service,
            failure_domain: listing.failure_domain.clone(),
            incarnation: listing.incarnation,
            listed,
            report: None,
            heard_at: None,
            unanswered_since: None,
            placed: 0,
            known_at: now,
        }
    }

    pub(super) fn listing(&self) -> AgentListing {
        AgentListing {
            agent: self.agent,
            service: self.service,
            failure_domain: self.failure_domain.clone(),
            incarnation: self.incarnation,
        }
    }

    pub(super) fn note_sent(&mut self, now: Timestamp) {
        self.unanswered_since.get_or_insert(now);
    }

    pub(super) fn hear(&mut self, report: AgentReport, now: Timestamp) {
        self.report = Some(report);
        self.note_heard(now);
        self.placed = 0;
    }

    /// Takes in a sign of life that is no report.
    pub(super) fn note_heard(&mut self, now: Timestamp) {
        self.heard_at = Some(now);
        self.unanswered_since = None;
    }

    /// Whether it has let datagrams go unanswered for longer than `limit`.
    pub(super) fn is_silent(&self, limit: Duration, now: Timestamp) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) >= limit)
    }

    /// How long nothing was heard of it.
    pub(super) fn quiet_for(&self, now: Timestamp) -> Duration {
        now.since(self.heard_at.unwrap_or(self.known_at))
    }

    pub(super) fn status(&self) -> Option<AgentStatus> {
        self.report.as_ref().map(|report| report.status)
    }

    /// Whether new flows may be sent there, as far as it has said.
    pub(super) fn accepts_new_flows(&self) -> bool {
        self.status().is_none_or(|it| it == AgentStatus::Ready)
    }

    /// Whether it may hold flows.
    pub(super) fn may_hold(&self) -> bool {
        self.status() != Some(AgentStatus::Ended)
    }
}
