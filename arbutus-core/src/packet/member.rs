use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use super::{AgentListing, AgentReport, AgentStatus};
use crate::{
    ident::{Incarnation, ServiceTag},
    route,
    time::Timestamp,
};

/// An agent in a balancer's view.
#[derive(Debug, Clone)]
pub(super) struct Member {
    pub(super) agent: SocketAddrV4,
    /// The agent's seed for rendezvous hashing, which depends on `agent` alone.
    pub(super) seed: u64,
    pub(super) service: ServiceTag,
    pub(super) failure_domain: Arc<str>,
    pub(super) incarnation: Incarnation,
    /// Whether the store lists the agent.
    pub(super) listed: bool,
    /// The last report, which is always from `incarnation`.
    pub(super) report: Option<AgentReport>,
    /// The time of the last message from the agent.
    pub(super) last_received_at: Option<Timestamp>,
    /// When the oldest datagram was sent that the agent has not answered.
    pub(super) unanswered_since: Option<Timestamp>,
    /// The number of new flows placed on the agent since its last report.
    pub(super) placed_since_report: u32,
    /// When the agent entered the view.
    pub(super) added_at: Timestamp,
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
            last_received_at: None,
            unanswered_since: None,
            placed_since_report: 0,
            added_at: now,
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

    /// Records that a datagram was sent to the agent.
    pub(super) fn on_sent(&mut self, now: Timestamp) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records a report of the agent.
    pub(super) fn on_report(&mut self, report: AgentReport, now: Timestamp) {
        self.report = Some(report);
        self.on_message(now);
        self.placed_since_report = 0;
    }

    /// Records any message from the agent.
    pub(super) fn on_message(&mut self, now: Timestamp) {
        self.last_received_at = Some(now);
        self.unanswered_since = None;
    }

    /// Returns whether the agent has left a datagram unanswered for at least `limit`.
    pub(super) fn is_silent(&self, limit: Duration, now: Timestamp) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) >= limit)
    }

    /// Returns the time since the last message from the agent, or since it entered the view.
    pub(super) fn idle_for(&self, now: Timestamp) -> Duration {
        now.since(self.last_received_at.unwrap_or(self.added_at))
    }

    pub(super) fn status(&self) -> Option<AgentStatus> {
        self.report.as_ref().map(|report| report.status)
    }

    /// Returns whether the agent may get new flows according to its last report, if any.
    pub(super) fn accepts_new_flows(&self) -> bool {
        self.status().is_none_or(|it| it == AgentStatus::Ready)
    }

    /// Returns whether the agent may get new flows if no other agent of the service does.
    pub(super) fn may_recover(&self) -> bool {
        self.status() == Some(AgentStatus::Waiting)
    }

    /// Returns whether the agent may own flows.
    pub(super) fn may_own_flows(&self) -> bool {
        self.status() != Some(AgentStatus::Ended)
    }
}
