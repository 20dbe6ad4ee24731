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
    /// Value of the `arbutus-outcome` header.
    pub outcome: Option<Outcome>,
    /// Value of the `retry-after` header, in seconds.
    pub retry_after_s: Option<u32>,
}

impl UpstreamHead {
    /// Creates a head without the optional headers.
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

    /// Sets the value of the `retry-after` header, in seconds.
    #[must_use]
    pub const fn retry_after_s(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }
}

/// An input of [`RequestMachine`](super::RequestMachine).
#[derive(Debug, Clone)]
pub enum Event {
    /// A request has arrived.
    Arrived {
        /// The request's ID, not used before.
        request: RequestId,
        /// The request head.
        head: RequestHead,
    },
    /// A connection to the backend server is ready for an [`Action::Connect`].
    ///
    /// [`Action::Connect`]: super::Action::Connect
    Connected {
        /// The attempt that requested the connection.
        attempt: Attempt,
    },
    /// The response head has arrived from the backend server or peer of the attempt.
    UpstreamHead {
        /// The attempt.
        attempt: Attempt,
        /// The response head.
        head: UpstreamHead,
    },
    /// The response has ended and is complete.
    UpstreamEnded {
        /// The attempt.
        attempt: Attempt,
    },
    /// The connection could not be opened, or it failed or ended before the response was complete.
    /// The connection is closed.
    UpstreamFailed {
        /// The attempt.
        attempt: Attempt,
        /// Whether any byte of the request may have been sent. False only if certainly none was.
        sent: bool,
    },
    /// The connection of a cancelled attempt is closed.
    UpstreamClosed {
        /// The attempt.
        attempt: Attempt,
    },
    /// The caller has cancelled the request or its connection has closed.
    CallerCancelled {
        /// The request.
        request: RequestId,
    },
    /// The peers' free slots have changed.
    PeersChanged {
        /// All known peers, replacing the previous list.
        peers: Vec<PeerCapacity>,
    },
    /// The service's request policy has changed.
    PolicyChanged {
        /// The new policy.
        policy: RequestPolicy,
        /// Whether requests stay with the agent of their flow or are spread over peers.
        balance: BalanceMode,
    },
    /// The system keys have been rotated.
    KeysChanged {
        /// The new keys.
        keys: Arc<KeyRing>,
    },
    /// A drain has begun or has been cancelled. A draining agent still serves the requests of open
    /// connections, but refuses repeatable requests from peers.
    DrainChanged {
        /// Whether the agent is draining.
        draining: bool,
    },
    /// The process is stopping: GOAWAY has been sent, and new requests are refused from now on.
    StopBegan,
    /// The grace period of the stop is over: every open request gets its final answer.
    StopDeadline,
    /// Time has passed; see [`RequestMachine::next_wakeup`](super::RequestMachine::next_wakeup).
    Tick,
}
