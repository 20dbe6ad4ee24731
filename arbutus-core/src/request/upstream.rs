//! What comes back from the backend server and from peers.

use std::net::SocketAddrV4;

use super::{
    Action, Answer, Attempt, KeyState, OpenRequest, Origin, Outcome, Phase, Refusal,
    RequestMachine, UpstreamHead, request_machine::Stop,
};
use crate::time::Timestamp;

/// Status with which a backend server sheds a request.
const SHED_STATUS: u16 = 503;

impl UpstreamHead {
    /// Whether a backend server says that it did not run the request.
    fn is_shed(&self) -> bool {
        self.status == SHED_STATUS && self.outcome == Some(Outcome::NotRun)
    }
}

impl RequestMachine {
    pub(super) fn connected(&mut self, attempt: Attempt, now: Timestamp) {
        let Some(open) = self.current(attempt) else {
            self.counters.stale_events += 1;
            return;
        };
        if open.phase != Phase::Connecting {
            self.violated();
            return;
        }
        open.phase = Phase::Sent;
        let time_left = open.deadline.since(now);
        self.actions.push(Action::Send { attempt, time_left });
    }

    pub(super) fn upstream_head(&mut self, attempt: Attempt, head: UpstreamHead, now: Timestamp) {
        let Some(open) = self.current(attempt) else {
            self.late_head(attempt, head);
            return;
        };
        let phase = open.phase;
        if phase == Phase::Sent {
            self.failures_in_row = 0;
        }
        match phase {
            Phase::Sent if head.is_shed() => self.shed(attempt, head, now),
            Phase::Sent => self.relay(attempt, Phase::Relaying, now),
            Phase::AtOwner | Phase::AtPeer => self.peer_head(attempt, head, now),
            Phase::Queued | Phase::Connecting | Phase::Relaying | Phase::RelayingPeer => {
                self.violated();
            }
        }
    }

    pub(super) fn upstream_ended(&mut self, attempt: Attempt, now: Timestamp) {
        let Some(open) = self.current(attempt) else {
            self.release_closing(attempt, now);
            return;
        };
        if open.phase.is_relaying() {
            self.finish(attempt.request, now);
        } else {
            // A response without a head is none.
            self.upstream_failed(attempt, true, now);
        }
    }

    pub(super) fn upstream_failed(&mut self, attempt: Attempt, sent: bool, now: Timestamp) {
        let Some(phase) = self.current(attempt).map(|open| open.phase) else {
            self.release_closing(attempt, now);
            return;
        };
        match phase {
            Phase::Relaying | Phase::RelayingPeer => self.abort(attempt.request, false, now),
            Phase::AtOwner => {
                // Not even a hand-over that never left tells what earlier attempts did there.
                let retry_after_s = Some(self.retry_after_s());
                let answer = Answer::new(502, Outcome::Unknown, Refusal::OwnerLost);
                let answer = answer.retry_after_s(retry_after_s);
                self.settle_closed(attempt.request, answer, now);
            }
            Phase::Connecting | Phase::Sent | Phase::AtPeer => {
                let sent = sent && phase != Phase::Connecting;
                if phase.holds_slot() {
                    self.failures_in_row = self.failures_in_row.saturating_add(1);
                }
                self.try_again(attempt, sent, Refusal::UpstreamFailed, None, now);
            }
            Phase::Queued => self.violated(),
        }
    }

    /// The connection of a cancelled attempt is gone.
    pub(super) fn release_closing(&mut self, attempt: Attempt, now: Timestamp) {
        match self.closing.swap_remove(&attempt) {
            Some(closing) => self.release(closing.slot_since, now),
            None => self.counters.stale_events += 1,
        }
    }

    /// The open request whose current attempt this is. One that is queued again has none.
    fn current(&mut self, attempt: Attempt) -> Option<&mut OpenRequest> {
        self.open
            .get_mut(&attempt.request)
            .filter(|open| open.attempt == attempt.number && open.phase.has_upstream())
    }

    /// A cancelled attempt's answer still tells what became of its key.
    fn late_head(&mut self, attempt: Attempt, head: UpstreamHead) {
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
        self.memory.revise(key, state);
    }

    fn shed(&mut self, attempt: Attempt, head: UpstreamHead, now: Timestamp) {
        self.actions.push(Action::Cancel { attempt });
        self.try_again_after_shed(attempt, head, now);
    }

    fn relay(&mut self, attempt: Attempt, phase: Phase, now: Timestamp) {
        let Some(open) = self.current(attempt) else {
            return;
        };
        let was_at_owner = open.phase == Phase::AtOwner;
        open.phase = phase;
        let renew = open.renew_at <= now;
        let key = open.key;
        if was_at_owner {
            self.at_owners = self.at_owners.saturating_sub(1);
        }
        if let Some(key) = key {
            self.memory.end(key, KeyState::Ran, now);
        }
        let offer = if renew { self.offer(now) } else { None };
        self.counters.ran += 1;
        self.actions.push(Action::Relay { attempt, offer });
    }

    fn peer_head(&mut self, attempt: Attempt, head: UpstreamHead, now: Timestamp) {
        let Some(phase) = self.current(attempt).map(|open| open.phase) else {
            return;
        };
        match head.outcome {
            Some(Outcome::Ran) => self.relay(attempt, Phase::RelayingPeer, now),
            Some(Outcome::NotRun) if phase == Phase::AtPeer => {
                self.actions.push(Action::Cancel { attempt });
                let retry_after_s = head.retry_after_s;
                self.try_again(attempt, false, Refusal::PeerRefused, retry_after_s, now);
            }
            Some(Outcome::NotRun) => self.owner_refused(attempt, head, now),
            Some(Outcome::Unknown) | None => {
                self.actions.push(Action::Cancel { attempt });
                let status = head.outcome.map_or(502, |_| head.status);
                let answer = Answer::new(status, Outcome::Unknown, Refusal::PeerRefused)
                    .retry_after_s(head.retry_after_s);
                self.settle_closed(attempt.request, answer, now);
            }
        }
    }

    /// The agent of the binding says `not-run`, so the caller may take a binding to this one.
    fn owner_refused(&mut self, attempt: Attempt, head: UpstreamHead, now: Timestamp) {
        self.actions.push(Action::Cancel { attempt });
        let offer = self.offer(now);
        let answer = Answer::new(head.status, Outcome::NotRun, Refusal::PeerRefused)
            .retry_after_s(head.retry_after_s)
            .offer(offer);
        if let Some(open) = self.open.get_mut(&attempt.request) {
            open.phase = Phase::Queued;
        }
        self.at_owners = self.at_owners.saturating_sub(1);
        self.settle_closed(attempt.request, answer, now);
    }

    fn try_again_after_shed(&mut self, attempt: Attempt, head: UpstreamHead, now: Timestamp) {
        let Some(open) = self.remove(attempt.request) else {
            return;
        };
        self.keep_closing(&open, None);
        self.try_elsewhere(open, Refusal::Shed, head.retry_after_s, now);
    }

    /// Deals with an attempt that ended without a response; its connection is closed.
    fn try_again(
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
        open.doubtful |= sent;
        let was_at_peer = open.phase == Phase::AtPeer;
        let is_first = open.attempt == 1;
        if open.phase.holds_slot() {
            self.release(open.slot_since, now);
        }
        open.phase = Phase::Queued;
        if !was_at_peer {
            self.try_elsewhere(open, reason, retry_after_s, now);
        } else if is_first && (!sent || self.spend_retry()) {
            self.admit(open, now);
        } else {
            self.refuse_after(&open, reason, retry_after_s, now);
        }
    }

    /// Retries a request that failed here at a peer, if it may be retried, or refuses it.
    fn try_elsewhere(
        &mut self,
        mut open: OpenRequest,
        reason: Refusal,
        retry_after_s: Option<u32>,
        now: Timestamp,
    ) {
        open.phase = Phase::Queued;
        let may_retry = open.repeatable
            && open.origin == Origin::Caller
            && !open.moved
            && open.deadline > now
            && self.stop != Stop::Stopped;
        if may_retry && let Some(peer) = self.retry_peer() {
            self.pass_on(open, peer, now);
            return;
        }
        self.refuse_after(&open, reason, retry_after_s, now);
    }

    fn retry_peer(&mut self) -> Option<SocketAddrV4> {
        if !self.peers.have_room() || !self.spend_retry() {
            return None;
        }
        self.peers.take(&mut self.rng)
    }

    fn spend_retry(&mut self) -> bool {
        if self.budget.spend() {
            self.counters.retries += 1;
            return true;
        }
        self.counters.retries_denied += 1;
        false
    }

    /// Sends a request that is not in the table to a peer.
    pub(super) fn pass_on(&mut self, mut open: OpenRequest, peer: SocketAddrV4, now: Timestamp) {
        open.moved = true;
        let time_left = open.deadline.since(now);
        let attempt = self.open_upstream(open, Phase::AtPeer);
        self.actions.push(Action::PassOn {
            attempt,
            peer,
            time_left,
        });
    }
}
