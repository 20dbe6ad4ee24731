//! What the machine does with a request that has just come.

use std::time::Duration;

use super::{
    Action, Answer, KeyDigest, KeyState, OpenRequest, Origin, Outcome, Phase, Refusal, RequestHead,
    RequestId, RequestMachine, request_machine::Stop,
};
use crate::{
    binding::{self, BindingClaim},
    config::BalanceMode,
    time::Timestamp,
};

/// Longest idempotency key, in bytes.
const KEY_BYTES_MAX: usize = 255;
/// Longest deadline that a request may name.
const DEADLINE_MAX: Duration = Duration::from_secs(3_600);
/// Requests at the agents of their bindings at once.
const AT_OWNERS_MAX: u32 = 256;

impl RequestMachine {
    pub(super) fn arrive(&mut self, request: RequestId, head: &RequestHead, now: Timestamp) {
        if self.open.contains_key(&request) {
            self.violated();
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
            doubtful: false,
            moved: false,
            renew_at: Timestamp::MAX,
        };
        if repeatable {
            self.arrive_repeatable(open, now);
        } else {
            self.arrive_bound(open, head, now);
        }
    }

    fn time_left(&self, head: &RequestHead) -> Duration {
        head.time_left
            .unwrap_or(Duration::from_millis(self.policy.deadline_ms))
            .min(DEADLINE_MAX)
    }

    fn arrive_repeatable(&mut self, open: OpenRequest, now: Timestamp) {
        if open.origin == Origin::Peer {
            self.arrive_from_peer(open, now);
            return;
        }
        self.budget.earn(self.policy.retry_percent);
        let crowded = !self.has_free_slot() && self.stop == Stop::Serving;
        let may_spread = crowded && self.balance == BalanceMode::Spread && open.deadline > now;
        if may_spread && let Some(peer) = self.peers.take(&mut self.rng) {
            self.counters.passed_on += 1;
            self.pass_on(open, peer, now);
            return;
        }
        self.admit(open, now);
    }

    /// A peer passes a request on for a free slot only; it queues it itself otherwise.
    fn arrive_from_peer(&mut self, open: OpenRequest, now: Timestamp) {
        if self.draining {
            self.refuse(&open, 503, Refusal::Draining, now);
        } else if self.has_free_slot() {
            self.admit(open, now);
        } else {
            self.refuse(&open, 503, Refusal::Overloaded, now);
        }
    }

    fn arrive_bound(&mut self, mut open: OpenRequest, head: &RequestHead, now: Timestamp) {
        let Some(key) = &head.idempotency_key else {
            self.refuse(&open, 400, Refusal::KeyMissing, now);
            return;
        };
        if key.is_empty() || key.len() > KEY_BYTES_MAX {
            self.refuse(&open, 400, Refusal::KeyMissing, now);
            return;
        }
        let key = KeyDigest::of(key);
        let Some(token) = &head.binding else {
            self.arrive_unbound(&open, key, now);
            return;
        };
        match binding::decode(token, &self.keys) {
            Ok(claim) if claim.tag != self.identity.tag => {
                self.answer_unknown(&open, 400, Refusal::BindingInvalid, None);
            }
            Ok(claim) if self.is_own(&claim) => {
                open.key = Some(key);
                self.arrive_at_owner(open, key, &claim, now);
            }
            Ok(claim) => self.arrive_elsewhere(open, &claim, now),
            // The token may have been valid once, and the key may have run under it.
            Err(_) => self.answer_unknown(&open, 400, Refusal::BindingInvalid, None),
        }
    }

    fn arrive_unbound(&mut self, open: &OpenRequest, key: KeyDigest, now: Timestamp) {
        // A caller that lost its binding may still hear what became of its key here.
        match self.memory.get(key, u64::MAX) {
            Some(state) => self.answer_duplicate(open, state),
            None => self.refuse(open, 428, Refusal::BindingMissing, now),
        }
    }

    fn arrive_at_owner(
        &mut self,
        mut open: OpenRequest,
        key: KeyDigest,
        claim: &BindingClaim,
        now: Timestamp,
    ) {
        let expires = claim.expires_at();
        let state = self.memory.get(key, claim.serial);
        // Until then the memory holds every key that ran under this binding.
        let sure = now < expires + super::KeyMemory::MARGIN;
        match state {
            Some(KeyState::Closed { .. }) if sure => {
                self.refuse(&open, 428, Refusal::BindingClosed, now);
            }
            None if now < expires => {
                open.renew_at = self.renewal(expires);
                self.admit_bound(open, key, now);
            }
            None if sure => self.refuse(&open, 428, Refusal::BindingExpired, now),
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

    /// Only the agent of the binding may say that the key did not run; this one hands it there.
    fn arrive_elsewhere(&mut self, open: OpenRequest, claim: &BindingClaim, now: Timestamp) {
        let same_address = claim.tunnel == self.identity.tunnel;
        if same_address || open.origin == Origin::Peer {
            self.answer_unknown(&open, 502, Refusal::OwnerGone, None);
            return;
        }
        if self.at_owners >= AT_OWNERS_MAX || self.stop == Stop::Stopped || open.deadline <= now {
            let retry_after_s = Some(self.retry_after_s());
            self.answer_unknown(&open, 503, Refusal::OwnerLost, retry_after_s);
            return;
        }
        self.counters.handed_over += 1;
        self.at_owners += 1;
        let time_left = open.deadline.since(now);
        let attempt = self.open_upstream(open, Phase::AtOwner);
        let peer = claim.control;
        self.actions.push(Action::HandOver {
            attempt,
            peer,
            time_left,
        });
    }

    /// When half of a binding's life is over.
    fn renewal(&self, expires: Timestamp) -> Timestamp {
        let half_micros = self.policy.binding_ms.saturating_mul(500);
        Timestamp::from_micros(expires.as_micros().saturating_sub(half_micros))
    }

    fn answer_duplicate(&mut self, open: &OpenRequest, state: KeyState) {
        self.counters.duplicates += 1;
        match state {
            // The first answer's status without its body would look like a whole answer.
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
