use std::net::SocketAddrV4;

use indexmap::IndexMap;

use super::{FlowTracker, count};
use crate::{
    packet::{
        AgentReport, AgentStatus, BackendState, FlowId, Heartbeat, HeartbeatOutcome, ResetCause,
        TrackerAction, tracked_flow::TrackedFlow,
    },
    time::Timestamp,
};

/// Monitoring of the backend server and reports to balancers.
impl FlowTracker {
    /// Records a heartbeat of the backend server.
    pub fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: Timestamp) -> HeartbeatOutcome {
        let outcome = self.backend.on_heartbeat(heartbeat, now);
        if outcome == HeartbeatOutcome::Changed {
            self.links.mark_all_pending(now);
        }
        outcome
    }

    /// Records that the backend server with the identifier `id` ends, and returns `false` if it is
    /// not the present one.
    pub fn on_backend_left(&mut self, id: &str, now: Timestamp) -> bool {
        let ours = self.backend.on_backend_left(id, now);
        if ours {
            self.links.mark_all_pending(now);
        }
        ours
    }

    /// Removes the flows of a process of the backend server that reported at `left_at` that it ends,
    /// and has ended. Returns a reset for each open one so that callers do not have to wait for a
    /// timeout.
    ///
    /// From its report until the next process is heard no flow is admitted, so any flow that was seen
    /// later belongs to the next process.
    pub fn reset_flows_until(&mut self, left_at: Timestamp) -> Vec<TrackerAction> {
        let before = |it: &TrackedFlow| it.first_seen_at <= left_at;
        reset_actions(self.flows.take(before), ResetCause::BackendEnded)
    }

    /// Removes the flows that certainly belonged to the process before the present backend server,
    /// and returns a reset for each open one so that callers get it before their next request.
    ///
    /// Flows that opened around the last heartbeat of the old process may belong to the new one.
    /// They are reset when the backend server rejects their packets.
    pub fn reset_predecessor_flows(&mut self) -> Vec<TrackerAction> {
        let Some(predecessor) = self.backend.take_predecessor() else {
            return Vec::new();
        };
        let before = |it: &TrackedFlow| predecessor.certainly_opened(it.first_seen_at);
        reset_actions(self.flows.take(before), ResetCause::BackendReplaced)
    }

    /// Stops accepting new flows.
    pub fn stop(&mut self, now: Timestamp) {
        self.stopping = true;
        self.links.mark_all_pending(now);
    }

    /// Records a balancer's request for a report.
    pub fn on_probe(&mut self, balancer: SocketAddrV4, now: Timestamp) {
        self.links.on_packet(balancer, now);
    }

    /// Returns whether a report to some balancer is pending.
    #[must_use]
    pub fn has_pending_reports(&self) -> bool {
        self.links.has_pending()
    }

    /// Returns a report and the balancers that get it in this round.
    pub fn take_report(&mut self, now: Timestamp) -> (AgentReport, Vec<SocketAddrV4>) {
        (self.introduction(now), self.links.take_pending())
    }

    /// Returns a report for balancers that may not have the agent in their view yet.
    pub fn introduction(&mut self, now: Timestamp) -> AgentReport {
        self.sequence = self.sequence.saturating_add(1);
        self.current_report(now)
    }

    fn current_report(&self, now: Timestamp) -> AgentReport {
        let open = self.flows.values().filter(|it| it.ended_at.is_none());
        let pending_requests = self
            .flows
            .values()
            .filter(|it| it.request_pending_since.is_some());
        AgentReport {
            agent: self.settings.agent,
            service: self.tag,
            failure_domain: self.settings.failure_domain.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            status: self.status(now),
            slots: self.slots(),
            flows: count(open.count()),
            pending_requests: count(pending_requests.count()),
            warmup_ms: u32::try_from(self.backend.warmup_remaining(now).as_millis())
                .unwrap_or(u32::MAX),
            config: self.config,
            config_source: self.config_source,
        }
    }

    /// Returns the status that the agent reports to balancers.
    #[must_use]
    pub fn status(&self, now: Timestamp) -> AgentStatus {
        match self.backend.state(now) {
            BackendState::Left => AgentStatus::Ended,
            _ if self.stopping => AgentStatus::Draining,
            BackendState::Draining => AgentStatus::Draining,
            BackendState::Unheard => AgentStatus::Waiting,
            BackendState::Ready if self.backend.is_unresponsive(now) => AgentStatus::Waiting,
            BackendState::Ready if self.backend.is_ejected(now) => AgentStatus::Waiting,
            BackendState::Ready => AgentStatus::Ready,
        }
    }

    /// Returns a bounded number of the balancers that recently sent packets to this agent.
    #[must_use]
    pub fn recent_balancers(&self) -> Vec<SocketAddrV4> {
        self.links.addresses()
    }
}

fn reset_actions(flows: IndexMap<FlowId, TrackedFlow>, cause: ResetCause) -> Vec<TrackerAction> {
    let open = flows.into_iter().filter(|(_, tracked)| tracked.is_open());
    open.map(|(flow, tracked)| TrackerAction::Reset {
        flow,
        acknowledged: tracked.acknowledged,
        cause,
    })
    .collect()
}
