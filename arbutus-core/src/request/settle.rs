//! Final outcomes of requests: answers, refusals, and the end of relayed responses.

use super::{
    Action, Answer, KeyDigest, KeyState, OpenRequest, Outcome, Phase, Refusal, RequestId,
    RequestMachine,
    request_machine::{ClosingAttempt, Lifecycle},
};
use crate::time::Timestamp;

impl RequestMachine {
    /// Answers a request that is not in the table, and counts the outcome.
    pub(super) fn answer(&mut self, request: RequestId, answer: Answer) {
        if self.open.contains_key(&request) {
            self.record_violation();
            return;
        }
        match answer.outcome {
            Outcome::Ran => self.counters.ran += 1,
            Outcome::NotRun => self.counters.not_run += 1,
            Outcome::Unknown => self.counters.unknown += 1,
        }
        self.actions.push(Action::Answer { request, answer });
    }

    pub(super) fn answer_unknown(
        &mut self,
        open: &OpenRequest,
        status: u16,
        reason: Refusal,
        retry_after_s: Option<u32>,
    ) {
        let answer = Answer::new(status, Outcome::Unknown, reason).retry_after_s(retry_after_s);
        self.answer(open.request, answer);
    }

    /// Refuses a request that is not in the table.
    ///
    /// The outcome is `not-run` if no attempt can have run, otherwise `unknown`.
    pub(super) fn refuse(
        &mut self,
        open: &OpenRequest,
        status: u16,
        reason: Refusal,
        now: Timestamp,
    ) {
        // A stopping agent offers no binding, so it must not ask for one.
        let (status, reason) = match status {
            428 if self.lifecycle != Lifecycle::Serving => (503, Refusal::Stopping),
            _ => (status, reason),
        };
        let retry_after_s = match reason {
            Refusal::KeyMissing
            | Refusal::BindingMissing
            | Refusal::BindingExpired
            | Refusal::BindingClosed => None,
            _ => Some(self.retry_after_s()),
        };
        if open.may_have_run() {
            self.record_unknown(open.key, now);
            self.answer_unknown(open, status, reason, retry_after_s);
            return;
        }
        // A key that is already closed stays unchanged, so that the binding offered when it was
        // closed remains usable.
        let closes_key = !matches!(reason, Refusal::BindingClosed | Refusal::BindingExpired);
        if let Some(key) = open.key.filter(|_| closes_key) {
            self.memory.close(key, self.next_serial, now);
        }
        let offer = if open.repeatable || reason == Refusal::KeyMissing {
            None
        } else {
            self.issue_binding(now)
        };
        let answer = Answer::new(status, Outcome::NotRun, reason)
            .retry_after_s(retry_after_s)
            .offer(offer);
        self.answer(open.request, answer);
    }

    /// Refuses a request after a failed attempt.
    pub(super) fn refuse_after_attempt(
        &mut self,
        open: &OpenRequest,
        reason: Refusal,
        retry_after_s: Option<u32>,
        now: Timestamp,
    ) {
        let status = if open.may_have_run() { 502 } else { 503 };
        self.refuse(open, status, reason, now);
        // The backend server's own `retry-after` takes precedence over the estimate.
        if let Some(Action::Answer { answer, .. }) = self.actions.last_mut() {
            answer.retry_after_s = retry_after_s.or(answer.retry_after_s);
        }
    }

    /// Ends an open request that cannot complete, because of its deadline or the end of a stop.
    pub(super) fn abandon(&mut self, request: RequestId, reason: Refusal, now: Timestamp) {
        let Some(phase) = self.open.get(&request).map(|open| open.phase) else {
            self.record_violation();
            return;
        };
        if phase.is_relaying() {
            self.abort(request, true, now);
            return;
        }
        if phase == Phase::Sent && reason == Refusal::Deadline {
            self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        }
        let Some(open) = self.remove(request) else {
            return;
        };
        let status = match reason {
            Refusal::Deadline => 504,
            _ => 503,
        };
        self.dequeue_or_cancel(&open);
        self.refuse(&open, status, reason, now);
    }

    /// Answers an open request whose attempt has ended and holds no slot.
    pub(super) fn settle_closed(&mut self, request: RequestId, answer: Answer, now: Timestamp) {
        let Some(open) = self.remove(request) else {
            self.record_violation();
            return;
        };
        if open.phase == Phase::AtOwner {
            self.pending_handovers = self.pending_handovers.saturating_sub(1);
        }
        let contradicts_attempts = answer.outcome == Outcome::NotRun && open.may_have_run();
        if contradicts_attempts {
            self.record_violation();
            self.refuse(&open, answer.status, answer.reason, now);
            return;
        }
        self.answer(request, answer);
    }

    /// Ends a relayed response that is complete.
    pub(super) fn finish(&mut self, request: RequestId, now: Timestamp) {
        let Some(open) = self.remove(request) else {
            self.record_violation();
            return;
        };
        if open.phase.holds_slot() {
            self.release_slot(open.slot_since, now);
        }
        self.actions.push(Action::Finish { request });
    }

    /// Resets a relayed response that is not complete.
    ///
    /// `upstream_open` states whether the attempt's connection still has to be closed.
    pub(super) fn abort(&mut self, request: RequestId, upstream_open: bool, now: Timestamp) {
        let Some(open) = self.remove(request) else {
            self.record_violation();
            return;
        };
        if upstream_open {
            self.dequeue_or_cancel(&open);
        } else if open.phase.holds_slot() {
            self.release_slot(open.slot_since, now);
        }
        self.counters.aborted += 1;
        self.actions.push(Action::Abort { request });
    }

    pub(super) fn on_caller_cancelled(&mut self, request: RequestId, now: Timestamp) {
        let Some(open) = self.remove(request) else {
            self.counters.stale_events += 1;
            return;
        };
        self.counters.cancelled += 1;
        self.dequeue_or_cancel(&open);
        match open.key {
            // The response head has already decided the key.
            Some(_) if open.phase.is_relaying() => {}
            Some(key) if open.may_have_run() => self.record_unknown(Some(key), now),
            Some(key) => self.memory.forget(key),
            None => {}
        }
    }

    /// Ends all open requests at the end of the grace period.
    pub(super) fn on_stop_deadline(&mut self, now: Timestamp) {
        self.lifecycle = Lifecycle::Stopped;
        let remaining: Vec<RequestId> = self.open.keys().copied().collect();
        for request in remaining {
            self.abandon(request, Refusal::Stopping, now);
        }
    }

    /// Removes a request that has left the table from the queue, or cancels its current attempt.
    fn dequeue_or_cancel(&mut self, open: &OpenRequest) {
        if !open.phase.has_upstream() {
            self.queue.retain(|queued| *queued != open.request);
            return;
        }
        let attempt = open.current_attempt();
        self.actions.push(Action::Cancel { attempt });
        if open.phase == Phase::AtOwner {
            self.pending_handovers = self.pending_handovers.saturating_sub(1);
        }
        let is_undecided = !open.phase.is_relaying();
        let key = open.key.filter(|_| is_undecided && open.may_have_run());
        self.hold_slot_until_closed(open, key);
    }

    /// Keeps the slot of a request that has left the table until its connection is closed.
    pub(super) fn hold_slot_until_closed(&mut self, open: &OpenRequest, key: Option<KeyDigest>) {
        if open.phase.holds_slot() {
            let slot_since = open.slot_since;
            let closing = ClosingAttempt { key, slot_since };
            self.closing.insert(open.current_attempt(), closing);
        }
    }

    fn record_unknown(&mut self, key: Option<KeyDigest>, now: Timestamp) {
        if let Some(key) = key {
            self.memory.end(key, KeyState::Unknown, now);
        }
    }
}
