//! Final outcomes: each request leaves the table through one of these functions.

use super::{
    Action, Answer, KeyDigest, KeyState, OpenRequest, Outcome, Phase, Refusal, RequestId,
    RequestMachine,
    request_machine::{Closing, Stop},
};
use crate::time::Timestamp;

impl RequestMachine {
    /// Gives an answer to a request that is not in the table and counts it.
    pub(super) fn answer(&mut self, request: RequestId, answer: Answer) {
        if self.open.contains_key(&request) {
            self.violated();
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

    /// Refuses a request that is not in the table: `not-run` where no attempt can have run.
    pub(super) fn refuse(
        &mut self,
        open: &OpenRequest,
        status: u16,
        reason: Refusal,
        now: Timestamp,
    ) {
        // Without a binding to offer, there is no sense in asking for one.
        let (status, reason) = match status {
            428 if self.stop != Stop::Serving => (503, Refusal::Stopping),
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
            self.note_unknown(open.key, now);
            self.answer_unknown(open, status, reason, retry_after_s);
            return;
        }
        // A closed key stays as it is, so that the binding offered when it was closed is good.
        let closes = !matches!(reason, Refusal::BindingClosed | Refusal::BindingExpired);
        if let Some(key) = open.key.filter(|_| closes) {
            self.memory.close(key, self.next_serial, now);
        }
        let offer = if open.repeatable || reason == Refusal::KeyMissing {
            None
        } else {
            self.offer(now)
        };
        let answer = Answer::new(status, Outcome::NotRun, reason)
            .retry_after_s(retry_after_s)
            .offer(offer);
        self.answer(open.request, answer);
    }

    /// Refuses a request after a failed attempt.
    pub(super) fn refuse_after(
        &mut self,
        open: &OpenRequest,
        reason: Refusal,
        retry_after_s: Option<u32>,
        now: Timestamp,
    ) {
        let status = if open.may_have_run() { 502 } else { 503 };
        self.refuse(open, status, reason, now);
        // What the backend server itself advises goes before the estimate.
        if let Some(Action::Answer { answer, .. }) = self.actions.last_mut() {
            answer.retry_after_s = retry_after_s.or(answer.retry_after_s);
        }
    }

    /// Ends an open request for which there is no time left.
    pub(super) fn give_up(&mut self, request: RequestId, reason: Refusal, now: Timestamp) {
        let Some(phase) = self.open.get(&request).map(|open| open.phase) else {
            self.violated();
            return;
        };
        if phase.is_relaying() {
            self.abort(request, true, now);
            return;
        }
        if phase == Phase::Sent && reason == Refusal::Deadline {
            self.failures_in_row = self.failures_in_row.saturating_add(1);
        }
        let Some(open) = self.remove(request) else {
            return;
        };
        let status = match reason {
            Refusal::Deadline => 504,
            _ => 503,
        };
        self.leave(&open);
        self.refuse(&open, status, reason, now);
    }

    /// Answers an open request whose attempt is over and holds no slot.
    pub(super) fn settle_closed(&mut self, request: RequestId, answer: Answer, now: Timestamp) {
        let Some(open) = self.remove(request) else {
            self.violated();
            return;
        };
        if open.phase == Phase::AtOwner {
            self.at_owners = self.at_owners.saturating_sub(1);
        }
        let untrue = answer.outcome == Outcome::NotRun && open.may_have_run();
        if untrue {
            self.violated();
            self.refuse(&open, answer.status, answer.reason, now);
            return;
        }
        self.answer(request, answer);
    }

    /// Ends a relayed response that came whole.
    pub(super) fn finish(&mut self, request: RequestId, now: Timestamp) {
        let Some(open) = self.remove(request) else {
            self.violated();
            return;
        };
        if open.phase.holds_slot() {
            self.release(open.slot_since, now);
        }
        self.actions.push(Action::Finish { request });
    }

    /// Ends a relayed response short.
    pub(super) fn abort(&mut self, request: RequestId, upstream_open: bool, now: Timestamp) {
        let Some(open) = self.remove(request) else {
            self.violated();
            return;
        };
        if upstream_open {
            self.leave(&open);
        } else if open.phase.holds_slot() {
            self.release(open.slot_since, now);
        }
        self.counters.aborted += 1;
        self.actions.push(Action::Abort { request });
    }

    pub(super) fn caller_cancelled(&mut self, request: RequestId, now: Timestamp) {
        let Some(open) = self.remove(request) else {
            self.counters.stale_events += 1;
            return;
        };
        self.counters.cancelled += 1;
        self.leave(&open);
        match open.key {
            // The response's head has settled the key.
            Some(_) if open.phase.is_relaying() => {}
            Some(key) if open.may_have_run() => self.note_unknown(Some(key), now),
            Some(key) => self.memory.forget(key),
            None => {}
        }
    }

    /// Ends everything at the end of a stop.
    pub(super) fn stop_now(&mut self, now: Timestamp) {
        self.stop = Stop::Stopped;
        let left: Vec<RequestId> = self.open.keys().copied().collect();
        for request in left {
            self.give_up(request, Refusal::Stopping, now);
        }
    }

    /// Takes a removed request out of the queue or away from its upstream.
    fn leave(&mut self, open: &OpenRequest) {
        if !open.phase.has_upstream() {
            self.queue.retain(|queued| *queued != open.request);
            return;
        }
        let attempt = open.current_attempt();
        self.actions.push(Action::Cancel { attempt });
        if open.phase == Phase::AtOwner {
            self.at_owners = self.at_owners.saturating_sub(1);
        }
        let undecided = !open.phase.is_relaying();
        let key = open.key.filter(|_| undecided && open.may_have_run());
        self.keep_closing(open, key);
    }

    /// Keeps the slot of a removed request until its connection is closed.
    pub(super) fn keep_closing(&mut self, open: &OpenRequest, key: Option<KeyDigest>) {
        if open.phase.holds_slot() {
            let slot_since = open.slot_since;
            let closing = Closing { key, slot_since };
            self.closing.insert(open.current_attempt(), closing);
        }
    }

    fn note_unknown(&mut self, key: Option<KeyDigest>, now: Timestamp) {
        if let Some(key) = key {
            self.memory.end(key, KeyState::Unknown, now);
        }
    }
}
