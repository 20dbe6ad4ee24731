//! Slots, the queue before them, and deadlines.

use std::time::Duration;

use rand::Rng;

use super::{
    Action, Attempt, OpenRequest, Phase, Refusal, RequestId, RequestMachine, request_machine::Stop,
};
use crate::time::Timestamp;

/// Longest advice to come back, in seconds.
const RETRY_AFTER_MAX_S: u32 = 60;

impl RequestMachine {
    /// Whether a request that comes now would run at once.
    pub(super) fn has_free_slot(&self) -> bool {
        self.queue.is_empty() && self.in_hand < self.policy.slots
    }

    /// Runs, queues or refuses a request that is not in the table.
    pub(super) fn admit(&mut self, mut open: OpenRequest, now: Timestamp) {
        if self.stop != Stop::Serving {
            self.refuse(&open, 503, Refusal::Stopping, now);
        } else if open.deadline <= now {
            self.refuse(&open, 504, Refusal::Deadline, now);
        } else if self.has_free_slot() {
            self.connect(open, now);
        } else if self.can_queue(&open, now) {
            open.phase = Phase::Queued;
            self.queue.push_back(open.request);
            self.insert(open);
        } else {
            self.refuse(&open, 503, Refusal::Overloaded, now);
        }
    }

    fn can_queue(&self, open: &OpenRequest, now: Timestamp) -> bool {
        let ahead = self.queue.len();
        let wait = self.service_time.wait(ahead, self.policy.slots);
        let bound = usize::try_from(self.policy.queue).unwrap_or(usize::MAX);
        ahead < bound && now + wait < self.latest_start(open)
    }

    /// The last moment at which a queued request can start and still end by its deadline.
    pub(super) fn latest_start(&self, open: &OpenRequest) -> Timestamp {
        let quick = u64::try_from(self.service_time.quick().as_micros()).unwrap_or(u64::MAX);
        Timestamp::from_micros(open.deadline.as_micros().saturating_sub(quick))
    }

    /// Gives free slots to queued requests.
    pub(super) fn fill_slots(&mut self, now: Timestamp) {
        while self.in_hand < self.policy.slots {
            let Some(request) = self.queue.pop_front() else {
                return;
            };
            match self.remove(request) {
                Some(open) => self.connect(open, now),
                None => self.violated(),
            }
        }
    }

    /// Answers open requests whose time is over, and queued ones that can no longer make it.
    pub(super) fn expire(&mut self, now: Timestamp) {
        while let Some((at, request)) = self.deadlines.first().copied() {
            if at > now {
                break;
            }
            self.give_up(request, Refusal::Deadline, now);
        }
        let late = |request: &RequestId| {
            let open = self.open.get(request)?;
            (self.latest_start(open) <= now).then_some(*request)
        };
        let hopeless: Vec<RequestId> = self.queue.iter().filter_map(late).collect();
        for request in hopeless {
            self.give_up(request, Refusal::Overloaded, now);
        }
    }

    /// Takes a slot for a request that is not in the table.
    fn connect(&mut self, open: OpenRequest, now: Timestamp) {
        if self.in_hand >= self.policy.slots || self.stop == Stop::Stopped {
            self.violated();
            self.refuse(&open, 503, Refusal::Overloaded, now);
            return;
        }
        self.in_hand += 1;
        self.counters.admitted += 1;
        let mut open = open;
        open.slot_since = now;
        let attempt = self.open_upstream(open, Phase::Connecting);
        self.actions.push(Action::Connect { attempt });
    }

    /// Enters a request with its next attempt.
    pub(super) fn open_upstream(&mut self, mut open: OpenRequest, phase: Phase) -> Attempt {
        open.attempt = open.attempt.saturating_add(1);
        open.phase = phase;
        let attempt = open.current_attempt();
        self.insert(open);
        attempt
    }

    /// Frees the slot of an attempt that held it since `since`.
    pub(super) fn release(&mut self, since: Timestamp, now: Timestamp) {
        self.service_time.record(now.since(since));
        match self.in_hand.checked_sub(1) {
            Some(in_hand) => self.in_hand = in_hand,
            None => self.violated(),
        }
    }

    pub(super) fn insert(&mut self, open: OpenRequest) {
        self.deadlines.insert((open.deadline, open.request));
        self.open.insert(open.request, open);
    }

    pub(super) fn remove(&mut self, request: RequestId) -> Option<OpenRequest> {
        let open = self.open.swap_remove(&request)?;
        self.deadlines.remove(&(open.deadline, request));
        Some(open)
    }

    /// When a refused caller should come back, in seconds: after the queue is worked off, spread
    /// over as long again.
    pub(super) fn retry_after_s(&mut self) -> u32 {
        let wait = self
            .service_time
            .wait(self.queue.len(), self.policy.slots)
            .max(Duration::from_secs(1));
        let base = u32::try_from(wait.as_secs()).unwrap_or(u32::MAX);
        let base = base.min(RETRY_AFTER_MAX_S);
        base + self.rng.random_range(0..=base)
    }
}
