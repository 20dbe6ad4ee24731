use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use super::{Answer, Attempt, RequestId};

/// An output of [`RequestMachine`](super::RequestMachine) that the daemon carries out.
///
/// Every request ends in exactly one of these ways: [`Action::Answer`]; [`Action::Relay`] followed
/// by [`Action::Finish`] or [`Action::Abort`]; or no further action, if its caller cancelled it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Open a connection to the backend server, without writing to it yet. The result is reported
    /// by [`Event::Connected`](super::Event::Connected) or
    /// [`Event::UpstreamFailed`](super::Event::UpstreamFailed).
    Connect {
        /// The attempt.
        attempt: Attempt,
    },
    /// Write the request to the connection.
    Send {
        /// The attempt.
        attempt: Attempt,
        /// Time until the deadline, for the `arbutus-deadline-ms` header.
        time_left: Duration,
    },
    /// Hand a non-repeatable request over, with its binding, to the agent that issued the binding.
    HandOver {
        /// The attempt.
        attempt: Attempt,
        /// The agent's control address.
        peer: SocketAddrV4,
        /// Time until the deadline.
        time_left: Duration,
    },
    /// Pass a repeatable request on to a peer.
    PassOn {
        /// The attempt.
        attempt: Attempt,
        /// The peer's control address.
        peer: SocketAddrV4,
        /// Time until the deadline.
        time_left: Duration,
    },
    /// Send the response head to the caller, with the outcome `ran`, and stream the body.
    Relay {
        /// The attempt that received the response.
        attempt: Attempt,
        /// The token of a fresh binding for the `arbutus-binding` header.
        offer: Option<Arc<str>>,
    },
    /// End the relayed response cleanly.
    Finish {
        /// The request.
        request: RequestId,
    },
    /// Reset the relayed response, so that it does not look complete.
    Abort {
        /// The request.
        request: RequestId,
    },
    /// Send an answer of the agent itself.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Close the attempt's connection or stream. For an attempt at the backend server,
    /// [`Event::UpstreamClosed`](super::Event::UpstreamClosed) reports the close and frees the
    /// slot.
    Cancel {
        /// The attempt.
        attempt: Attempt,
    },
}
