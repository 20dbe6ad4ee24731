use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use super::{BackendState, Heartbeat};
use crate::{ident::Incarnation, time::Timestamp};

/// What became of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It says something new.
    Changed,
    /// It says what was known.
    Same,
    /// A later one was heard before, or the sender has ended since.
    Late,
    /// It names another service or address than the agent's own.
    NotOurs,
}

/// When the first heartbeat of a start was heard.
#[derive(Debug, Clone, Copy)]
struct FirstHeard {
    sequence: u64,
    at: Timestamp,
}

/// An agent's knowledge of its backend server.
#[derive(Debug)]
pub struct BackendMonitor {
    service: Arc<str>,
    address: SocketAddrV4,
    /// Age past which a heartbeat no longer admits new flows.
    fresh_for: Duration,
    last: Option<Heartbeat>,
    heard_at: Timestamp,
    /// The first heartbeat of the present start that was heard here.
    first: Option<FirstHeard>,
    /// When the backend server before the present one was last heard, until that is taken.
    predecessor_heard: Option<Timestamp>,
    /// Whether the sender of `last` has said goodbye.
    left: bool,
    /// When it was first given an opening segment that nothing was heard after.
    asked_since: Option<Timestamp>,
    /// When it was last given an opening segment.
    asked_at: Timestamp,
}

impl BackendMonitor {
    /// Heartbeats that may be missing before a backend server gets no new flow.
    const HEARTBEATS: u32 = 3;

    /// Heartbeats of a backend server that may have been sent right after its start, until its agent
    /// had started too.
    const FIRST_NUMBERS: u32 = 3;

    /// How much earlier than an agent the backend server beside it may have started without having
    /// had flows through an earlier process of the agent: that one would have had to start, hear it,
    /// end and be started again.
    const STARTED_TOGETHER: Duration = Duration::from_millis(250);

    /// How long a backend server may leave an opening segment unanswered before others are asked.
    const UNRESPONSIVE: Duration = Duration::from_millis(120);

    /// How often one that does not respond is tried again.
    const RETRY: Duration = Duration::from_millis(500);

    /// Makes the watch of the backend server of `service` at `address`.
    #[must_use]
    pub fn new(service: Arc<str>, address: SocketAddrV4, heartbeat: Duration) -> Self {
        Self {
            service,
            address,
            fresh_for: heartbeat * Self::HEARTBEATS,
            last: None,
            heard_at: Timestamp::ZERO,
            first: None,
            predecessor_heard: None,
            left: false,
            asked_since: None,
            asked_at: Timestamp::ZERO,
        }
    }

    /// Takes in a heartbeat.
    pub fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: Timestamp) -> HeartbeatOutcome {
        if heartbeat.service != self.service || heartbeat.address != self.address {
            return HeartbeatOutcome::NotOurs;
        }
        if self.is_late(&heartbeat, now) {
            return HeartbeatOutcome::Late;
        }
        let before = self.state(now);
        let same_start = self
            .last
            .as_ref()
            .is_some_and(|it| same_start(it, &heartbeat));
        if !same_start {
            self.predecessor_heard = self.last.as_ref().map(|_| self.heard_at);
            self.first = Some(FirstHeard {
                sequence: heartbeat.sequence,
                at: now,
            });
        }
        self.last = Some(heartbeat);
        self.heard_at = now;
        self.left = false;
        if same_start && before == self.state(now) {
            HeartbeatOutcome::Same
        } else {
            HeartbeatOutcome::Changed
        }
    }

    fn is_late(&self, heartbeat: &Heartbeat, now: Timestamp) -> bool {
        let Some(last) = &self.last else {
            return false;
        };
        if same_start(last, heartbeat) {
            return self.left || heartbeat.sequence <= last.sequence;
        }
        // Once the other is silent, the wall clock may have been set back between the two starts.
        let is_heard = now.since(self.heard_at) <= self.fresh_for;
        heartbeat.started_at_ms < last.started_at_ms && is_heard
    }

    /// When the backend server before the present one was last heard; tells it once.
    pub(super) const fn take_predecessor(&mut self) -> Option<Timestamp> {
        self.predecessor_heard.take()
    }

    /// Takes in that the backend server called `id` ends; gives `false` where another one runs.
    pub fn on_backend_left(&mut self, id: &str) -> bool {
        let ours = self.last.as_ref().is_some_and(|it| *it.id == *id);
        if ours {
            self.left = true;
        }
        ours
    }

    /// Notes that it is given an opening segment.
    pub fn record_opening(&mut self, now: Timestamp) {
        self.asked_since.get_or_insert(now);
        self.asked_at = now;
    }

    /// Notes that it has sent something.
    pub const fn record_response(&mut self) {
        self.asked_since = None;
    }

    /// What is known of it.
    #[must_use]
    pub fn state(&self, now: Timestamp) -> BackendState {
        let Some(last) = &self.last else {
            return BackendState::Unheard;
        };
        if self.left {
            return BackendState::Left;
        }
        if last.draining {
            return BackendState::Draining;
        }
        if now.since(self.heard_at) > self.fresh_for {
            return BackendState::Unheard;
        }
        BackendState::Ready
    }

    /// Whether it may be given an opening segment now.
    #[must_use]
    pub fn accepts_new_flows(&self, now: Timestamp) -> bool {
        self.state(now) == BackendState::Ready
            && (!self.is_unresponsive(now) || now.since(self.asked_at) >= Self::RETRY)
    }

    /// Whether it has left an opening segment unanswered.
    #[must_use]
    pub fn is_unresponsive(&self, now: Timestamp) -> bool {
        self.asked_since
            .is_some_and(|since| now.since(since) >= Self::UNRESPONSIVE)
    }

    /// Whether the backend server started after a process of `incarnation` that started at `start`,
    /// or together with it.
    ///
    /// The wall clock tells, unless it was set meanwhile; so the number of heartbeats before the
    /// first one heard must fit too.
    pub(super) fn started_after(&self, incarnation: Incarnation, start: Timestamp) -> bool {
        let (Some(last), Some(first)) = (&self.last, self.first) else {
            return false;
        };
        let heartbeat = self.fresh_for / Self::HEARTBEATS;
        let before = u32::try_from(first.sequence).unwrap_or(u32::MAX);
        let age = heartbeat.saturating_mul(before.saturating_sub(Self::FIRST_NUMBERS));
        let together = u64::try_from(Self::STARTED_TOGETHER.as_millis()).unwrap_or(0);
        last.started_at_ms.saturating_add(together) >= incarnation.get()
            && age <= first.at.since(start)
    }

    /// Its last heartbeat.
    #[must_use]
    pub const fn last_heartbeat(&self) -> Option<&Heartbeat> {
        self.last.as_ref()
    }

    /// Age of its last heartbeat.
    #[must_use]
    pub fn heartbeat_age(&self, now: Timestamp) -> Option<Duration> {
        self.last.as_ref().map(|_| now.since(self.heard_at))
    }

    /// How much longer it is slow after its start.
    #[must_use]
    pub fn warmup_remaining(&self, now: Timestamp) -> Duration {
        let left = self
            .last
            .as_ref()
            .map_or(Duration::ZERO, |it| it.warmup_remaining);
        left.saturating_sub(now.since(self.heard_at))
    }
}

fn same_start(a: &Heartbeat, b: &Heartbeat) -> bool {
    a.id == b.id && a.started_at_ms == b.started_at_ms
}
