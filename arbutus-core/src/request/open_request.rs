use super::{Attempt, KeyDigest, Origin, RequestId};
use crate::time::Timestamp;

/// Where a request without its final outcome is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for a slot.
    Queued,
    /// It holds a slot and waits for a connection; nothing was written.
    Connecting,
    /// It holds a slot and may have reached the backend server.
    Sent,
    /// It holds a slot, and its response is being relayed.
    Relaying,
    /// It was handed to the agent of its binding.
    AtOwner,
    /// It was passed on to a peer.
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

    /// Whether the current attempt may have reached a backend server.
    pub(super) const fn may_have_run(self) -> bool {
        !matches!(self, Self::Queued | Self::Connecting)
    }

    pub(super) const fn has_upstream(self) -> bool {
        !matches!(self, Self::Queued)
    }
}

/// A request that has not got its final outcome yet.
#[derive(Debug, Clone)]
pub(super) struct OpenRequest {
    pub(super) request: RequestId,
    pub(super) origin: Origin,
    pub(super) repeatable: bool,
    /// The key, if this agent is the one that may run it; recorded as pending all the while.
    pub(super) key: Option<KeyDigest>,
    pub(super) deadline: Timestamp,
    pub(super) phase: Phase,
    /// Number of the current attempt, 0 before the first.
    pub(super) attempt: u8,
    /// When the current attempt took its slot.
    pub(super) slot_since: Timestamp,
    /// An earlier attempt may have run.
    pub(super) doubtful: bool,
    /// It was passed on or retried; that happens once.
    pub(super) moved: bool,
    /// From when on a fresh binding goes along with its response.
    pub(super) renew_at: Timestamp,
}

impl OpenRequest {
    pub(super) const fn current_attempt(&self) -> Attempt {
        Attempt::new(self.request, self.attempt)
    }

    /// Whether it may have run, in any attempt.
    pub(super) const fn may_have_run(&self) -> bool {
        self.doubtful || self.phase.may_have_run()
    }
}
