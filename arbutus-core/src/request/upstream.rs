//! Handlers for events from the backend server and from peers.

use std::net::SocketAddrV4;

use super::{
    Action, Answer, Attempt, KeyState, OpenRequest, Origin, Outcome, Phase, Refusal,
    RequestMachine, UpstreamHead, request_machine::Lifecycle,
};
use crate::time::Timestamp;

/// HTTP status with which a backend server sheds a request.
const SHED_STATUS: u16 = 503;

impl UpstreamHead {
    /// Returns whether a backend server reports that it shed the request.
    fn is_shed(&self) -> bool {
        self.status == SHED_STATUS && self.outcome == Some(Outcome::NotRun)
    }
}

impl RequestMachine {
    pub(super) fn on_connected(&mut self, attempt: Attempt, now: Timestamp) {
        let Some(open) = self.current_request(attempt) else {
            self.counters.stale_events += 1;
            return;
        };
        if open.phase != Phase::Connecting {
            self.record_violation();
            return;
        }
        open.phase = Phase::Sent;
        let time_left = open.deadline.since(now);
        self.actions.push(Action::Send { attempt, time_left });
    }

    pub(super) fn on_upstream_head(
        &mut self,
        attempt: Attempt,
        head: UpstreamHead,
        now: Timestamp,
    ) {
        let Some(open) = self.current_request(attempt) else {
            self.on_late_head(attempt, head);
            return;
        };
        let phase = open.phase;
        if phase == Phase::Sent {
            self.consecutive_failures = 0;
        }
        match phase {
            Phase::Sent if head.is_shed() => self.on_shed(attempt, head, now),
            Phase::Sent => self.relay(attempt, Phase::Relaying, now),
            Phase::AtOwner | Phase::AtPeer => self.on_peer_head(attempt, head, now),
            Phase::Queued | Phase::Connecting | Phase::Relaying | Phase::RelayingPeer => {
                self.record_violation();
            }
        }
    }

    pub(super) fn on_upstream_ended(&mut self, attempt: Attempt, now: Timestamp) {
        let Some(open) = self.current_request(attempt) else {
            self.release_closing(attempt, now);
            return;
        };
        if open.phase.is_relaying() {
            self.finish(attempt.request, now);
        } else {
            // A response that ends without a head counts as a failed attempt.
            self.on_upstream_failed(attempt, true, now);
        }
    }

    pub(super) fn on_upstream_failed(&mut self, attempt: Attempt, sent: bool, now: Timestamp) {
        let Some(phase) = self.current_request(attempt).map(|open| open.phase) else {
            self.release_closing(attempt, now);
            return;
        };
        match phase {
            Phase::Relaying | Phase::RelayingPeer => self.abort(attempt.request, false, now),
            Phase::AtOwner => {
                // Even if nothing was sent now, an earlier attempt may have run there.
                let retry_after_s = Some(self.retry_after_s());
                let answer = Answer::new(502, Outcome::Unknown, Refusal::OwnerLost);
                let answer = answer.retry_after_s(retry_after_s);
                self.settle_closed(attempt.request, answer, now);
            }
            Phase::Connecting | Phase::Sent | Phase::AtPeer => {
                let sent = sent && phase != Phase::Connecting;
                if phase.holds_slot() {
                    self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                }
                self.retry_or_refuse(attempt, sent, Refusal::UpstreamFailed, None, now);
            }
            Phase::Queued => self.record_violation(),
        }
    }

    /// Frees the slot of an ended attempt whose connection has closed.
    pub(super) fn release_closing(&mut self, attempt: Attempt, now: Timestamp) {
        match self.closing.swap_remove(&attempt) {
            Some(closing) => self.release_slot(closing.slot_since, now),
            None => self.counters.stale_events += 1,
        }
    }

    /// Returns the open request whose current attempt is `attempt`. A queued request has no current
    /// attempt.
    fn current_request(&mut self, attempt: Attempt) -> Option<&mut OpenRequest> {
        self.open
            .get_mut(&attempt.request)
            .filter(|open| open.attempt == attempt.number && open.phase.has_upstream())
    }

    /// Handles the response head of an ended attempt, which still decides the outcome of its key.
    fn on_late_head(&mut self, attempt: Attempt, head: UpstreamHead) {
        self.counters.stale_events += 1;
        let Some(closing) = self.closing.get_mut(&attempt) else {
            return;
        };
        let Some(key) = closing.key.take() else {
            return;
        };
        let state = if head.is_shed() {
            let below = self.next_serial;
            KeyState::Closed { below }
        } else {
            KeyState::Ran
        };
        self.memory.resolve_unknown(key, state);
    }

    fn on_shed(&mut self, attempt: Attempt, head: UpstreamHead, now: Timestamp) {
        self.actions.push(Action::Cancel { attempt });
        self.retry_or_refuse_after_shed(attempt, head, now);
    }

    fn relay(&mut self, attempt: Attempt, phase: Phase, now: Timestamp) {
        let Some(open) = self.current_request(attempt) else {
            return;
        };
        let was_at_owner = open.phase == Phase::AtOwner;
        open.phase = phase;
        let renew = open.renew_at <= now;
        let key = open.key;
        if was_at_owner {
            self.pending_handovers = self.pending_handovers.saturating_sub(1);
        }
        if let Some(key) = key {
            self.memory.end(key, KeyState::Ran, now);
        }
        let offer = if renew { self.issue_binding(now) } else { None };
        self.counters.ran += 1;
        self.actions.push(Action::Relay { attempt, offer });
    }

    fn on_peer_head(&mut self, attempt: Attempt, head: UpstreamHead, now: Timestamp) {
        let Some(phase) = self.current_request(attempt).map(|open| open.phase) else {
            return;
        };
        match head.outcome {
            Some(Outcome::Ran) => self.relay(attempt, Phase::RelayingPeer, now),
            Some(Outcome::NotRun) if phase == Phase::AtPeer => {
                self.actions.push(Action::Cancel { attempt });
                let retry_after_s = head.retry_after_s;
                self.retry_or_refuse(attempt, false, Refusal::PeerRefused, retry_after_s, now);
            }
            Some(Outcome::NotRun) => self.on_owner_refused(attempt, head, now),
            Some(Outcome::Unknown) | None => {
                self.actions.push(Action::Cancel { attempt });
                let status = head.outcome.map_or(502, |_| head.status);
                let answer = Answer::new(status, Outcome::Unknown, Refusal::PeerRefused)
                    .retry_after_s(head.retry_after_s);
                self.settle_closed(attempt.request, answer, now);
            }
        }
    }

    /// Handles `not-run` from the agent that issued the binding: the caller may now use a binding
    /// to this agent, which is offered.
    fn on_owner_refused(&mut self, attempt: Attempt, head: UpstreamHead, now: Timestamp) {
        self.actions.push(Action::Cancel { attempt });
        let offer = self.issue_binding(now);
        let answer = Answer::new(head.status, Outcome::NotRun, Refusal::PeerRefused)
            .retry_after_s(head.retry_after_s)
            .offer(offer);
        if let Some(open) = self.open.get_mut(&attempt.request) {
            open.phase = Phase::Queued;
        }
        self.pending_handovers = self.pending_handovers.saturating_sub(1);
        self.settle_closed(attempt.request, answer, now);
    }

    fn retry_or_refuse_after_shed(&mut self, attempt: Attempt, head: UpstreamHead, now: Timestamp) {
        let Some(open) = self.remove(attempt.request) else {
            return;
        };
        self.hold_slot_until_closed(&open, None);
        self.retry_at_peer_or_refuse(open, Refusal::Shed, head.retry_after_s, now);
    }

    /// Retries or refuses a request whose attempt ended without a response. The connection is
    /// closed.
    fn retry_or_refuse(
        &mut self,
        attempt: Attempt,
        sent: bool,
        reason: Refusal,
        retry_after_s: Option<u32>,
        now: Timestamp,
    ) {
        let Some(mut open) = self.remove(attempt.request) else {
            return;
        };
        open.earlier_attempt_may_have_run |= sent;
        let was_at_peer = open.phase == Phase::AtPeer;
        let is_first = open.attempt == 1;
        if open.phase.holds_slot() {
            self.release_slot(open.slot_since, now);
        }
        open.phase = Phase::Queued;
        if !was_at_peer {
            self.retry_at_peer_or_refuse(open, reason, retry_after_s, now);
        } else if is_first && (!sent || self.withdraw_retry()) {
            self.admit(open, now);
        } else {
            self.refuse_after_attempt(&open, reason, retry_after_s, now);
        }
    }

    /// Retries a request that failed here at a peer if it may be retried, otherwise refuses it.
    fn retry_at_peer_or_refuse(
        &mut self,
        mut open: OpenRequest,
        reason: Refusal,
        retry_after_s: Option<u32>,
        now: Timestamp,
    ) {
        open.phase = Phase::Queued;
        let may_retry = open.repeatable
            && open.origin == Origin::Caller
            && !open.sent_to_peer
            && open.deadline > now
            && self.lifecycle != Lifecycle::Stopped;
        if may_retry && let Some(peer) = self.reserve_retry_peer() {
            self.pass_on(open, peer, now);
            return;
        }
        self.refuse_after_attempt(&open, reason, retry_after_s, now);
    }

    /// Reserves a slot at a peer for a retry, within the retry budget.
    fn reserve_retry_peer(&mut self) -> Option<SocketAddrV4> {
        if !self.peers.have_free_slot() || !self.withdraw_retry() {
            return None;
        }
        self.peers.reserve(&mut self.rng)
    }

    /// Takes a retry from the retry budget, and counts the result.
    fn withdraw_retry(&mut self) -> bool {
        if self.retry_budget.withdraw() {
            self.counters.retries += 1;
            return true;
        }
        self.counters.retries_denied += 1;
        false
    }

    /// Passes a request that is not in the table on to a peer.
    pub(super) fn pass_on(&mut self, mut open: OpenRequest, peer: SocketAddrV4, now: Timestamp) {
        open.sent_to_peer = true;
        let time_left = open.deadline.since(now);
        let attempt = self.start_attempt(open, Phase::AtPeer);
        self.actions.push(Action::PassOn {
            attempt,
            peer,
            time_left,
        });
    }
}
