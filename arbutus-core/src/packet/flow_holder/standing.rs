use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use super::{FlowTracker, count};
use crate::{
    packet::{
        AgentReport, AgentStatus, BackendState, FlowId, Heartbeat, HeartbeatOutcome, ResetCause,
        TrackerAction, held_flow::HeldFlow,
    },
    time::Timestamp,
};

/// The part that hears the backend server and tells balancers how the agent stands.
impl FlowTracker {
    /// How long before the last heartbeat of a backend server a flow must have been known to be that
    /// one's: heartbeats wait in a process that was frozen.
    const PREDECESSOR_MARGIN: Duration = Duration::from_secs(1);

    /// Takes in a heartbeat of the backend server.
    pub fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: Timestamp) -> HeartbeatOutcome {
        let outcome = self.backend.on_heartbeat(heartbeat, now);
        if outcome == HeartbeatOutcome::Changed {
            self.links.owe_all(now);
        }
        outcome
    }

    /// Takes in that the backend server called `id` ends; gives `false` where another one runs.
    pub fn on_backend_left(&mut self, id: &str, now: Timestamp) -> bool {
        let ours = self.backend.on_backend_left(id);
        if ours {
            self.links.owe_all(now);
        }
        ours
    }

    /// Gives up every open flow, once the backend server has ended, so that callers need not wait
    /// for it.
    pub fn reset_all_flows(&mut self) -> Vec<TrackerAction> {
        let flows = std::mem::take(&mut self.flows);
        resets(flows, ResetCause::BackendEnded)
    }

    /// Gives up the flows that certainly were those of the backend server before the present one, so
    /// that callers hear of it before they send their next request.
    ///
    /// Flows that opened around the last heartbeat of the old one may be the new one's; they are
    /// given up when it turns them away.
    pub fn reset_predecessor_flows(&mut self) -> Vec<TrackerAction> {
        let Some(heard_at) = self.backend.take_predecessor() else {
            return Vec::new();
        };
        let before = |held: &HeldFlow| heard_at.since(held.known_at) >= Self::PREDECESSOR_MARGIN;
        let flows = std::mem::take(&mut self.flows);
        let (old, kept) = flows.into_iter().partition(|(_, held)| before(held));
        self.flows = kept;
        resets(old, ResetCause::BackendReplaced)
    }

    /// Takes no new flow from now on.
    pub fn stop(&mut self, now: Timestamp) {
        self.stopping = true;
        self.links.owe_all(now);
    }

    /// Notes that a balancer has asked for a report.
    pub fn on_probe(&mut self, balancer: SocketAddrV4, now: Timestamp) {
        self.links.note(balancer, now);
    }

    /// Whether some balancer waits for a report.
    #[must_use]
    pub fn has_pending_reports(&self) -> bool {
        self.links.any_owed()
    }

    /// A report and the balancers that are to get it now.
    pub fn take_report(&mut self, now: Timestamp) -> (AgentReport, Vec<SocketAddrV4>) {
        (self.introduction(now), self.links.take_owed())
    }

    /// A report for balancers that need not know the agent yet.
    pub fn introduction(&mut self, now: Timestamp) -> AgentReport {
        self.sequence = self.sequence.saturating_add(1);
        self.present_report(now)
    }

    fn present_report(&self, now: Timestamp) -> AgentReport {
        let open = self.flows.values().filter(|it| it.ended_at.is_none());
        let pending_requests = self.flows.values().filter(|it| it.waiting_since.is_some());
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

    /// What balancers are told.
    #[must_use]
    pub fn status(&self, now: Timestamp) -> AgentStatus {
        match self.backend.state(now) {
            BackendState::Left => AgentStatus::Ended,
            _ if self.stopping => AgentStatus::Draining,
            BackendState::Draining => AgentStatus::Draining,
            BackendState::Unheard => AgentStatus::Waiting,
            BackendState::Ready if self.backend.is_unresponsive(now) => AgentStatus::Waiting,
            BackendState::Ready => AgentStatus::Ready,
        }
    }

    /// The balancers that had packets lately, a bounded number of them.
    #[must_use]
    pub fn recent_balancers(&self) -> Vec<SocketAddrV4> {
        self.links.some()
    }
}

fn resets(flows: IndexMap<FlowId, HeldFlow>, cause: ResetCause) -> Vec<TrackerAction> {
    let open = flows.into_iter().filter(|(_, held)| held.is_open());
    open.map(|(flow, held)| TrackerAction::Reset {
        flow,
        acknowledged: held.acknowledged,
        cause,
    })
    .collect()
}
