use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use super::{BackendProcess, BackendState, Heartbeat};
use crate::{ident::Incarnation, time::Timestamp};

/// The effect of a heartbeat on an agent's view of its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The heartbeat changed the view.
    Changed,
    /// The heartbeat confirmed the view.
    Same,
    /// The heartbeat was ignored: a later one had arrived before, or its sender has ended.
    Late,
    /// The heartbeat is for another service or address than the agent's own.
    NotOurs,
}

/// The first heartbeat of a process that arrived.
#[derive(Debug, Clone, Copy)]
struct FirstHeartbeat {
    sequence: u64,
    at: Timestamp,
}

/// What an agent knows of a process of its backend server that has been replaced.
#[derive(Debug, Clone, Copy)]
pub(super) struct Predecessor {
    /// When the last heartbeat of the process arrived.
    pub(super) last_heartbeat_at: Timestamp,
    /// When the process reported that it ends, if it did.
    pub(super) left_at: Option<Timestamp>,
}

impl Predecessor {
    /// How long before the last heartbeat of a process the agent must have seen the first packet of a
    /// flow to attribute the flow to that process. The arrival time of a heartbeat is not exact:
    /// heartbeats queue up in a process that is frozen.
    const MARGIN: Duration = Duration::from_secs(1);

    /// Returns whether a flow whose first packet was seen at `first_seen_at` certainly belonged to
    /// this process. After a report of its end no flow is admitted until the next process is heard.
    pub(super) fn certainly_opened(&self, first_seen_at: Timestamp) -> bool {
        let seen_before_last_heartbeat = self.last_heartbeat_at.since(first_seen_at);
        self.left_at
            .map_or(seen_before_last_heartbeat >= Self::MARGIN, |left_at| {
                first_seen_at <= left_at
            })
    }
}

/// The state machine that tracks the state of an agent's backend server.
#[derive(Debug)]
pub struct BackendMonitor {
    service: Arc<str>,
    address: SocketAddrV4,
    /// The age of the last heartbeat above which the backend server gets no new flow.
    liveness_timeout: Duration,
    last_heartbeat: Option<Heartbeat>,
    last_heartbeat_at: Timestamp,
    /// The first heartbeat of the present process that arrived.
    first_heartbeat: Option<FirstHeartbeat>,
    /// Whether a heartbeat of a process before the present one has arrived.
    has_met_earlier_process: bool,
    /// The process before the present one, until it is taken.
    predecessor: Option<Predecessor>,
    /// When the sender of `last_heartbeat` reported that it ends.
    left_at: Option<Timestamp>,
    /// When the oldest opening segment was delivered that the backend server has not answered.
    unanswered_since: Option<Timestamp>,
    /// When the last opening segment was delivered to the backend server.
    last_opening_at: Timestamp,
    /// When the backend server last broke off a request, if it has answered none since.
    failed_at: Option<Timestamp>,
}

impl BackendMonitor {
    /// The length of the liveness timeout, in heartbeat intervals.
    const LIVENESS_INTERVALS: u32 = 3;

    /// The number of heartbeats that a backend server may have sent right after its start, before
    /// its agent had started too.
    const FIRST_SEQUENCES: u32 = 3;

    /// The part of a heartbeat interval within which all heartbeats of a backend server are retries
    /// of its first one. A backend server whose heartbeat was acknowledged waits for about an
    /// interval before the next one.
    const FIRST_HEARTBEAT_DIVISOR: u32 = 2;

    /// How long a backend server may leave an opening segment unanswered before new flows go to
    /// other agents.
    const RESPONSE_TIMEOUT: Duration = Duration::from_millis(120);

    /// The interval at which an unresponsive or failing backend server is tried again.
    const RETRY_INTERVAL: Duration = Duration::from_millis(500);

    /// Creates the monitor of the backend server of `service` at `address`.
    #[must_use]
    pub fn new(service: Arc<str>, address: SocketAddrV4, heartbeat_interval: Duration) -> Self {
        Self {
            service,
            address,
            liveness_timeout: heartbeat_interval * Self::LIVENESS_INTERVALS,
            last_heartbeat: None,
            last_heartbeat_at: Timestamp::ZERO,
            first_heartbeat: None,
            has_met_earlier_process: false,
            predecessor: None,
            left_at: None,
            unanswered_since: None,
            last_opening_at: Timestamp::ZERO,
            failed_at: None,
        }
    }

    /// Records a heartbeat.
    pub fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: Timestamp) -> HeartbeatOutcome {
        if heartbeat.service != self.service || heartbeat.address != self.address {
            return HeartbeatOutcome::NotOurs;
        }
        if self.is_late(&heartbeat, now) {
            return HeartbeatOutcome::Late;
        }
        let before = self.state(now);
        let process = heartbeat.process();
        let same_process = self.process().is_some_and(|it| it == process);
        if !same_process {
            self.has_met_earlier_process = self.last_heartbeat.is_some();
            self.predecessor = self.last_heartbeat.as_ref().map(|_| Predecessor {
                last_heartbeat_at: self.last_heartbeat_at,
                left_at: self.left_at,
            });
            self.failed_at = None;
            self.first_heartbeat = Some(FirstHeartbeat {
                sequence: heartbeat.sequence,
                at: now,
            });
        }
        self.last_heartbeat = Some(heartbeat);
        self.last_heartbeat_at = now;
        self.left_at = None;
        if same_process && before == self.state(now) {
            HeartbeatOutcome::Same
        } else {
            HeartbeatOutcome::Changed
        }
    }

    fn is_late(&self, heartbeat: &Heartbeat, now: Timestamp) -> bool {
        let Some(last) = &self.last_heartbeat else {
            return false;
        };
        if last.process() == heartbeat.process() {
            return self.left_at.is_some() || heartbeat.sequence <= last.sequence;
        }
        // If the last process is silent, the wall clock may have been set back between the two
        // starts.
        let is_alive = now.since(self.last_heartbeat_at) <= self.liveness_timeout;
        heartbeat.started_at_ms < last.started_at_ms && is_alive
    }

    /// Returns the process before the present one, once for each change of the process.
    pub(super) const fn take_predecessor(&mut self) -> Option<Predecessor> {
        self.predecessor.take()
    }

    /// Records that the backend server with the identifier `id` ends, and returns `false` if it is
    /// not the present one.
    pub fn on_backend_left(&mut self, id: &str, now: Timestamp) -> bool {
        let ours = self.last_heartbeat.as_ref().is_some_and(|it| *it.id == *id);
        if ours {
            self.left_at.get_or_insert(now);
        }
        ours
    }

    /// Returns when the backend server reported that it ends, if its present process did.
    #[must_use]
    pub const fn left_at(&self) -> Option<Timestamp> {
        self.left_at
    }

    /// Records that an opening segment is delivered to the backend server.
    pub fn record_opening(&mut self, now: Timestamp) {
        self.unanswered_since.get_or_insert(now);
        self.last_opening_at = now;
    }

    /// Records that the backend server has sent a packet.
    pub const fn record_response(&mut self) {
        self.unanswered_since = None;
    }

    /// Records that the backend server has reset a flow with a request instead of answering it.
    ///
    /// Its load is low for that reason, so that further flows would be placed on it.
    pub(super) const fn record_failure(&mut self, now: Timestamp) {
        self.failed_at = Some(now);
    }

    /// Records that the backend server has answered a request.
    pub(super) const fn record_answer(&mut self) {
        self.failed_at = None;
    }

    /// Returns whether the backend server has broken off a request and answered none since.
    pub(super) const fn is_failing(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Returns whether balancers should place new flows elsewhere, because the backend server has
    /// broken off a request lately.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.failed_at
            .is_some_and(|at| now.since(at) < Self::RETRY_INTERVAL)
    }

    /// Returns the state of the backend server.
    #[must_use]
    pub fn state(&self, now: Timestamp) -> BackendState {
        let Some(last) = &self.last_heartbeat else {
            return BackendState::Unheard;
        };
        if self.left_at.is_some() {
            return BackendState::Left;
        }
        if last.draining {
            return BackendState::Draining;
        }
        if now.since(self.last_heartbeat_at) > self.liveness_timeout {
            return BackendState::Unheard;
        }
        BackendState::Ready
    }

    /// Returns whether the backend server may get an opening segment now.
    #[must_use]
    pub fn accepts_new_flows(&self, now: Timestamp) -> bool {
        self.state(now) == BackendState::Ready
            && (!self.is_unresponsive(now) && !self.is_failing()
                || now.since(self.last_opening_at) >= Self::RETRY_INTERVAL)
    }

    /// Returns whether the backend server has left an opening segment unanswered for too long.
    #[must_use]
    pub fn is_unresponsive(&self, now: Timestamp) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) >= Self::RESPONSE_TIMEOUT)
    }

    /// Returns the process that sent the last heartbeat.
    #[must_use]
    pub fn process(&self) -> Option<BackendProcess> {
        self.last_heartbeat.as_ref().map(Heartbeat::process)
    }

    /// Returns whether an earlier process of the backend server has sent a heartbeat to this process
    /// of the agent, so that the present one has started after the agent.
    pub(super) const fn has_met_earlier_process(&self) -> bool {
        self.has_met_earlier_process
    }

    fn heartbeat_interval(&self) -> Duration {
        self.liveness_timeout / Self::LIVENESS_INTERVALS
    }

    /// Returns whether the sequence number of the first heartbeat of the present process is low
    /// enough for a process that started after `start`.
    pub(super) fn may_have_started_after(&self, start: Timestamp) -> bool {
        let Some(first) = self.first_heartbeat else {
            return false;
        };
        let sequence = u32::try_from(first.sequence).unwrap_or(u32::MAX);
        let intervals = sequence.saturating_sub(Self::FIRST_SEQUENCES);
        let min_age = self.heartbeat_interval().saturating_mul(intervals);
        min_age <= first.at.since(start)
    }

    /// Returns whether the clocks say that no earlier process of the agent can have delivered flows
    /// to the backend server. The agent's process of `incarnation` started at `start`.
    ///
    /// Either the backend server started after this process, or this process received its first
    /// heartbeat. The start times on the wall clock decide. This is no proof: the clock may have been
    /// set between the two starts.
    pub(super) fn seems_to_have_met_no_earlier_agent(
        &self,
        incarnation: Incarnation,
        start: Timestamp,
    ) -> bool {
        let (Some(last), Some(first)) = (&self.last_heartbeat, self.first_heartbeat) else {
            return false;
        };
        let heard_after = first.at.since(start);
        let agent_age_ms = u64::try_from(heard_after.as_millis()).unwrap_or(u64::MAX);
        let heard_at_ms = incarnation.get().saturating_add(agent_age_ms);
        let backend_age = Duration::from_millis(heard_at_ms.saturating_sub(last.started_at_ms));
        let is_first = first.sequence <= u64::from(Self::FIRST_SEQUENCES)
            && backend_age < self.heartbeat_interval() / Self::FIRST_HEARTBEAT_DIVISOR;
        is_first || last.started_at_ms >= incarnation.get()
    }

    /// Returns the last heartbeat.
    #[must_use]
    pub const fn last_heartbeat(&self) -> Option<&Heartbeat> {
        self.last_heartbeat.as_ref()
    }

    /// Returns the age of the last heartbeat.
    #[must_use]
    pub fn heartbeat_age(&self, now: Timestamp) -> Option<Duration> {
        self.last_heartbeat
            .as_ref()
            .map(|_| now.since(self.last_heartbeat_at))
    }

    /// Returns the remaining time of reduced performance after the backend server's start.
    #[must_use]
    pub fn warmup_remaining(&self, now: Timestamp) -> Duration {
        let remaining = self
            .last_heartbeat
            .as_ref()
            .map_or(Duration::ZERO, |it| it.warmup_remaining);
        remaining.saturating_sub(now.since(self.last_heartbeat_at))
    }
}
