//! Handlers for requests that have just arrived.

use std::time::Duration;

use super::{
    Action, Answer, KeyDigest, KeyState, OpenRequest, Origin, Outcome, Phase, Refusal, RequestHead,
    RequestId, RequestMachine, request_machine::Lifecycle,
};
use crate::{
    binding::{self, BindingClaim},
    config::BalanceMode,
    time::Timestamp,
};

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Maximum time until the deadline; longer times in requests are reduced to it.
const MAX_TIME_LEFT: Duration = Duration::from_secs(3_600);
/// Maximum number of handed-over requests that are pending at the same time.
const MAX_PENDING_HANDOVERS: u32 = 256;

impl RequestMachine {
    pub(super) fn on_arrived(&mut self, request: RequestId, head: &RequestHead, now: Timestamp) {
        if self.open.contains_key(&request) {
            self.record_violation();
            return;
        }
        self.counters.arrived += 1;
        let repeatable = head.is_repeatable(&self.policy);
        let open = OpenRequest {
            request,
            origin: head.origin,
            repeatable,
            key: None,
            deadline: now + self.time_left(head),
            phase: Phase::Queued,
            attempt: 0,
            slot_since: now,
            earlier_attempt_may_have_run: false,
            sent_to_peer: false,
            renew_at: Timestamp::MAX,
        };
        if repeatable {
            self.on_repeatable_request(open, now);
        } else {
            self.on_non_repeatable_request(open, head, now);
        }
    }

    /// Returns the time until the request's deadline.
    fn time_left(&self, head: &RequestHead) -> Duration {
        head.time_left
            .unwrap_or(Duration::from_millis(self.policy.deadline_ms))
            .min(MAX_TIME_LEFT)
    }

    fn on_repeatable_request(&mut self, open: OpenRequest, now: Timestamp) {
        if open.origin == Origin::Peer {
            self.on_peer_request(open, now);
            return;
        }
        self.retry_budget.deposit(self.policy.retry_percent);
        let is_full = !self.has_free_slot() && self.lifecycle == Lifecycle::Serving;
        let may_pass_on = is_full && self.balance == BalanceMode::Spread && open.deadline > now;
        if may_pass_on && let Some(peer) = self.peers.reserve(&mut self.rng) {
            self.counters.passed_on += 1;
            self.pass_on(open, peer, now);
            return;
        }
        self.admit(open, now);
    }

    /// Handles a repeatable request that a peer passed on.
    ///
    /// Such a request is not queued here: without a free slot it is refused, and the peer may queue
    /// it.
    fn on_peer_request(&mut self, open: OpenRequest, now: Timestamp) {
        if self.draining {
            self.refuse(&open, 503, Refusal::Draining, now);
        } else if self.has_free_slot() {
            self.admit(open, now);
        } else {
            self.refuse(&open, 503, Refusal::Overloaded, now);
        }
    }

    /// Handles a request that may run only once, under an idempotency key and a binding.
    fn on_non_repeatable_request(
        &mut self,
        mut open: OpenRequest,
        head: &RequestHead,
        now: Timestamp,
    ) {
        let Some(key) = &head.idempotency_key else {
            self.refuse(&open, 400, Refusal::KeyMissing, now);
            return;
        };
        if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
            self.refuse(&open, 400, Refusal::KeyMissing, now);
            return;
        }
        let key = KeyDigest::of(key);
        let Some(token) = &head.binding else {
            self.on_missing_binding(&open, key, now);
            return;
        };
        match binding::decode(token, &self.keys) {
            Ok(claim) if claim.tag != self.identity.tag => {
                self.answer_unknown(&open, 400, Refusal::BindingInvalid, None);
            }
            Ok(claim) if self.is_own_binding(&claim) => {
                open.key = Some(key);
                self.on_own_binding(open, key, &claim, now);
            }
            Ok(claim) => self.on_foreign_binding(open, &claim, now),
            // The token may have been valid earlier, and the key may have run under it.
            Err(_) => self.answer_unknown(&open, 400, Refusal::BindingInvalid, None),
        }
    }

    fn on_missing_binding(&mut self, open: &OpenRequest, key: KeyDigest, now: Timestamp) {
        // A caller that lost its binding can still learn the outcome of its key.
        match self.memory.get(key, u64::MAX) {
            Some(state) => self.answer_duplicate(open, state),
            None => self.refuse(open, 428, Refusal::BindingMissing, now),
        }
    }

    fn on_own_binding(
        &mut self,
        mut open: OpenRequest,
        key: KeyDigest,
        claim: &BindingClaim,
        now: Timestamp,
    ) {
        let expires = claim.expires_at();
        let state = self.memory.get(key, claim.serial);
        // Until then, every key that ran under this binding is still remembered.
        let is_retained = now < expires + super::KeyMemory::RETENTION_MARGIN;
        match state {
            Some(KeyState::Closed { .. }) if is_retained => {
                self.refuse(&open, 428, Refusal::BindingClosed, now);
            }
            None if now < expires => {
                open.renew_at = self.renewal_time(expires);
                self.admit_bound(open, key, now);
            }
            None if is_retained => self.refuse(&open, 428, Refusal::BindingExpired, now),
            None | Some(KeyState::Closed { .. }) => {
                self.answer_unknown(&open, 410, Refusal::BindingExpired, None);
            }
            Some(state) => self.answer_duplicate(&open, state),
        }
    }

    fn admit_bound(&mut self, open: OpenRequest, key: KeyDigest, now: Timestamp) {
        if self.memory.begin(key) {
            self.admit(open, now);
            return;
        }
        self.counters.memory_full += 1;
        self.refuse(&open, 503, Refusal::MemoryFull, now);
    }

    /// Handles a request whose binding was issued by another process.
    ///
    /// Only that process can answer `not-run`, so the request is handed over to it.
    fn on_foreign_binding(&mut self, open: OpenRequest, claim: &BindingClaim, now: Timestamp) {
        let is_same_address = claim.tunnel == self.identity.tunnel;
        if is_same_address || open.origin == Origin::Peer {
            self.answer_unknown(&open, 502, Refusal::OwnerGone, None);
            return;
        }
        if self.pending_handovers >= MAX_PENDING_HANDOVERS
            || self.lifecycle == Lifecycle::Stopped
            || open.deadline <= now
        {
            let retry_after_s = Some(self.retry_after_s());
            self.answer_unknown(&open, 503, Refusal::OwnerLost, retry_after_s);
            return;
        }
        self.counters.handed_over += 1;
        self.pending_handovers += 1;
        let time_left = open.deadline.since(now);
        let attempt = self.start_attempt(open, Phase::AtOwner);
        let peer = claim.control;
        self.actions.push(Action::HandOver {
            attempt,
            peer,
            time_left,
        });
    }

    /// Returns the time at which half of a binding's TTL has passed.
    fn renewal_time(&self, expires: Timestamp) -> Timestamp {
        let half_micros = self.policy.binding_ms.saturating_mul(500);
        Timestamp::from_micros(expires.as_micros().saturating_sub(half_micros))
    }

    fn answer_duplicate(&mut self, open: &OpenRequest, state: KeyState) {
        self.counters.duplicates += 1;
        match state {
            // The status of the first response without its body would look like a complete
            // response.
            KeyState::Ran => {
                let answer = Answer::new(409, Outcome::Ran, Refusal::Duplicate);
                self.answer(open.request, answer);
            }
            KeyState::Pending => {
                let retry_after_s = Some(self.retry_after_s());
                self.answer_unknown(open, 409, Refusal::Duplicate, retry_after_s);
            }
            KeyState::Unknown | KeyState::Closed { .. } => {
                self.answer_unknown(open, 409, Refusal::Duplicate, None);
            }
        }
    }
}
