use std::sync::Arc;

use super::{Attempt, Outcome, PeerCapacity, RequestHead, RequestId};
use crate::{
    config::{BalanceMode, RequestPolicy},
    keys::KeyRing,
};

/// The head of a response from the backend server or a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamHead {
    /// HTTP status code.
    pub status: u16,
    /// The `arbutus-outcome` header.
    pub outcome: Option<Outcome>,
    /// The `retry-after` header, in seconds.
    pub retry_after_s: Option<u32>,
}

impl UpstreamHead {
    /// Makes a head without the optional headers.
    #[must_use]
    pub const fn new(status: u16) -> Self {
        Self {
            status,
            outcome: None,
            retry_after_s: None,
        }
    }

    /// Sets the outcome.
    #[must_use]
    pub const fn outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = Some(outcome);
        self
    }

    /// Sets when to come back.
    #[must_use]
    pub const fn retry_after_s(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }
}

/// Something that the machine is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// A request came.
    Arrived {
        /// A number not used before.
        request: RequestId,
        /// What came.
        head: RequestHead,
    },
    /// An idle connection to the backend server is there for an [`Action::Connect`].
    ///
    /// [`Action::Connect`]: super::Action::Connect
    Connected {
        /// The attempt that asked for it.
        attempt: Attempt,
    },
    /// The head of the response came from wherever the attempt went.
    UpstreamHead {
        /// The attempt.
        attempt: Attempt,
        /// What came.
        head: UpstreamHead,
    },
    /// The response ended whole.
    UpstreamEnded {
        /// The attempt.
        attempt: Attempt,
    },
    /// No connection was to be had, it broke, or the response ended short. It is closed now.
    UpstreamFailed {
        /// The attempt.
        attempt: Attempt,
        /// False only where it is certain that no byte of the request went out.
        sent: bool,
    },
    /// The connection of a cancelled attempt is closed.
    UpstreamClosed {
        /// The attempt.
        attempt: Attempt,
    },
    /// The caller cancelled the request or its connection is gone.
    CallerCancelled {
        /// The request.
        request: RequestId,
    },
    /// What is known of the peers' free slots, replacing what was.
    PeersChanged {
        /// The peers.
        peers: Vec<PeerCapacity>,
    },
    /// The service's limits changed.
    PolicyChanged {
        /// The new limits.
        policy: RequestPolicy,
        /// What the service weighs more.
        balance: BalanceMode,
    },
    /// The keys were rotated.
    KeysChanged {
        /// The new keys.
        keys: Arc<KeyRing>,
    },
    /// Drain began, or was taken back. Requests of open connections are still served; peers'
    /// repeatable requests are not.
    DrainChanged {
        /// Whether the agent drains.
        draining: bool,
    },
    /// The process stops: GOAWAY was sent, and what arrives from now on is refused.
    StopBegan,
    /// The grace of the stop is over: everything left gets its final answer.
    StopDeadline,
    /// Nothing but the passing of time.
    Tick,
}
