use super::{Attempt, KeyDigest, Origin, RequestId};
use crate::time::Timestamp;

/// The phase of a request without a final outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The request waits for a slot.
    Queued,
    /// The request holds a slot and waits for a connection; nothing has been written.
    Connecting,
    /// The request holds a slot and may have reached the backend server.
    Sent,
    /// The request holds a slot, and its response is being relayed.
    Relaying,
    /// The request was handed over to the agent that issued its binding.
    AtOwner,
    /// The request was passed on to a peer.
    AtPeer,
    /// A peer's response is being relayed.
    RelayingPeer,
}

impl Phase {
    pub(super) const fn holds_slot(self) -> bool {
        matches!(self, Self::Connecting | Self::Sent | Self::Relaying)
    }

    pub(super) const fn is_relaying(self) -> bool {
        matches!(self, Self::Relaying | Self::RelayingPeer)
    }

    /// Returns whether the current attempt may have reached a backend server.
    pub(super) const fn may_have_run(self) -> bool {
        !matches!(self, Self::Queued | Self::Connecting)
    }

    pub(super) const fn has_upstream(self) -> bool {
        !matches!(self, Self::Queued)
    }
}

/// A request without a final outcome.
#[derive(Debug, Clone)]
pub(super) struct OpenRequest {
    pub(super) request: RequestId,
    pub(super) origin: Origin,
    pub(super) repeatable: bool,
    /// The idempotency key, if this agent issued the binding. It is recorded as pending while the
    /// request is open and undecided.
    pub(super) key: Option<KeyDigest>,
    pub(super) deadline: Timestamp,
    pub(super) phase: Phase,
    /// Number of the current attempt; 0 before the first.
    pub(super) attempt: u8,
    /// Time at which the current attempt took its slot.
    pub(super) slot_since: Timestamp,
    /// Whether an earlier attempt may have run.
    pub(super) earlier_attempt_may_have_run: bool,
    /// Whether the request was passed on to a peer or retried there, which happens at most once.
    pub(super) sent_to_peer: bool,
    /// Time from which a response to this request carries a fresh binding.
    pub(super) renew_at: Timestamp,
}

impl OpenRequest {
    pub(super) const fn current_attempt(&self) -> Attempt {
        Attempt::new(self.request, self.attempt)
    }

    /// Returns whether the request may have run in any attempt.
    pub(super) const fn may_have_run(&self) -> bool {
        self.earlier_attempt_may_have_run || self.phase.may_have_run()
    }
}
