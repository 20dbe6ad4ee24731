use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use super::{Answer, Attempt, RequestId};

/// Something that the machine wants done.
///
/// Every request gets exactly one of: [`Action::Answer`]; or [`Action::Relay`] followed by
/// [`Action::Finish`] or [`Action::Abort`]; or nothing, if its caller cancelled it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Get a connection to the backend server, but write nothing yet. Reported by
    /// [`Event::Connected`](super::Event::Connected) or
    /// [`Event::UpstreamFailed`](super::Event::UpstreamFailed).
    Connect {
        /// The attempt.
        attempt: Attempt,
    },
    /// Write the request to the connection.
    Send {
        /// The attempt.
        attempt: Attempt,
        /// Time left, for the `arbutus-deadline-ms` header.
        time_left: Duration,
    },
    /// Hand a non-repeatable request, with its binding, to the agent that the binding names.
    HandOver {
        /// The attempt.
        attempt: Attempt,
        /// The agent's control address.
        peer: SocketAddrV4,
        /// Time left.
        time_left: Duration,
    },
    /// Pass a repeatable request on to a peer.
    PassOn {
        /// The attempt.
        attempt: Attempt,
        /// The peer's control address.
        peer: SocketAddrV4,
        /// Time left.
        time_left: Duration,
    },
    /// Send the response's head to the caller, with the outcome `ran`, and the body as it comes.
    Relay {
        /// The attempt whose response it is.
        attempt: Attempt,
        /// A fresh token for the `arbutus-binding` header.
        offer: Option<Arc<str>>,
    },
    /// End the relayed response cleanly.
    Finish {
        /// The request.
        request: RequestId,
    },
    /// Reset the relayed response; it must not look whole.
    Abort {
        /// The request.
        request: RequestId,
    },
    /// Answer at once.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Close the attempt's connection or stream. For an attempt at the backend server it is
    /// reported by [`Event::UpstreamClosed`](super::Event::UpstreamClosed), which frees the slot.
    Cancel {
        /// The attempt.
        attempt: Attempt,
    },
}
