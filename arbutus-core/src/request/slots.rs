//! Slots, the queue of requests that wait for a slot, and deadlines.

use std::time::Duration;

use rand::Rng;

use super::{
    Action, Attempt, OpenRequest, Phase, Refusal, RequestId, RequestMachine,
    request_machine::Lifecycle,
};
use crate::time::Timestamp;

/// Upper bound of the base value of `Retry-After`, in seconds; jitter may double it.
const MAX_RETRY_AFTER_BASE_S: u32 = 60;

impl RequestMachine {
    /// Returns whether a request that arrives now would run immediately.
    pub(super) fn has_free_slot(&self) -> bool {
        self.queue.is_empty() && self.slots_in_use < self.policy.slots
    }

    /// Runs, queues or refuses a request that is not in the table.
    pub(super) fn admit(&mut self, mut open: OpenRequest, now: Timestamp) {
        if self.lifecycle != Lifecycle::Serving {
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

    /// Returns whether the queue has space and the request is expected to start in time.
    fn can_queue(&self, open: &OpenRequest, now: Timestamp) -> bool {
        let ahead = self.queue.len();
        let wait = self.service_time.expected_wait(ahead, self.policy.slots);
        let max_queued = usize::try_from(self.policy.queue).unwrap_or(usize::MAX);
        ahead < max_queued && now + wait < self.latest_start(open)
    }

    /// Returns the latest time at which a queued request can start and still end by its deadline.
    ///
    /// This assumes the low estimate of the service time, so that no request is refused that could
    /// still end in time if it runs quickly.
    pub(super) fn latest_start(&self, open: &OpenRequest) -> Timestamp {
        let low_estimate =
            u64::try_from(self.service_time.low_estimate().as_micros()).unwrap_or(u64::MAX);
        Timestamp::from_micros(open.deadline.as_micros().saturating_sub(low_estimate))
    }

    /// Assigns free slots to queued requests.
    pub(super) fn fill_slots(&mut self, now: Timestamp) {
        while self.slots_in_use < self.policy.slots {
            let Some(request) = self.queue.pop_front() else {
                return;
            };
            match self.remove(request) {
                Some(open) => self.connect(open, now),
                None => self.record_violation(),
            }
        }
    }

    /// Ends open requests whose deadline has passed and queued requests that can no longer meet it.
    pub(super) fn expire(&mut self, now: Timestamp) {
        while let Some((at, request)) = self.deadlines.first().copied() {
            if at > now {
                break;
            }
            self.abandon(request, Refusal::Deadline, now);
        }
        let if_too_late = |request: &RequestId| {
            let open = self.open.get(request)?;
            (self.latest_start(open) <= now).then_some(*request)
        };
        let too_late: Vec<RequestId> = self.queue.iter().filter_map(if_too_late).collect();
        for request in too_late {
            self.abandon(request, Refusal::Overloaded, now);
        }
    }

    /// Takes a slot for a request that is not in the table, and starts an attempt.
    fn connect(&mut self, open: OpenRequest, now: Timestamp) {
        if self.slots_in_use >= self.policy.slots || self.lifecycle == Lifecycle::Stopped {
            self.record_violation();
            self.refuse(&open, 503, Refusal::Overloaded, now);
            return;
        }
        self.slots_in_use += 1;
        self.counters.admitted += 1;
        let mut open = open;
        open.slot_since = now;
        let attempt = self.start_attempt(open, Phase::Connecting);
        self.actions.push(Action::Connect { attempt });
    }

    /// Inserts a request into the table with its next attempt.
    pub(super) fn start_attempt(&mut self, mut open: OpenRequest, phase: Phase) -> Attempt {
        open.attempt = open.attempt.saturating_add(1);
        open.phase = phase;
        let attempt = open.current_attempt();
        self.insert(open);
        attempt
    }

    /// Frees a slot that has been held since `since`.
    pub(super) fn release_slot(&mut self, since: Timestamp, now: Timestamp) {
        self.service_time.record(now.since(since));
        match self.slots_in_use.checked_sub(1) {
            Some(slots_in_use) => self.slots_in_use = slots_in_use,
            None => self.record_violation(),
        }
    }

    /// Inserts a request and its deadline.
    pub(super) fn insert(&mut self, open: OpenRequest) {
        self.deadlines.insert((open.deadline, open.request));
        self.open.insert(open.request, open);
    }

    /// Removes a request and its deadline.
    pub(super) fn remove(&mut self, request: RequestId) -> Option<OpenRequest> {
        let open = self.open.swap_remove(&request)?;
        self.deadlines.remove(&(open.deadline, request));
        Some(open)
    }

    /// Returns the `Retry-After` of a refused request, in seconds.
    ///
    /// This is the expected time until the queue is empty plus random jitter of up to the same
    /// time, so that refused callers do not all retry at once.
    pub(super) fn retry_after_s(&mut self) -> u32 {
        let wait = self
            .service_time
            .expected_wait(self.queue.len(), self.policy.slots)
            .max(Duration::from_secs(1));
        let base = u32::try_from(wait.as_secs()).unwrap_or(u32::MAX);
        let base = base.min(MAX_RETRY_AFTER_BASE_S);
        base + self.rng.random_range(0..=base)
    }
}
