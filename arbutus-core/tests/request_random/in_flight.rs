//! Messages in flight between callers, agents and backend servers.

use arbutus_core::request::{Attempt, Outcome, RequestId, UpstreamHead};

use crate::journal::{CallId, ProcessId};

/// The sender of a request, which receives its answer.
#[derive(Debug, Clone, Copy)]
pub enum Sender {
    Caller,
    Peer(ProcessId, Attempt),
}

/// A message or step that has not been delivered yet.
#[derive(Debug, Clone)]
pub enum InFlight {
    /// A request to an agent.
    Request {
        to: usize,
        call: CallId,
        sender: Sender,
    },
    /// A connection to the backend server that is being opened.
    Connect {
        process: ProcessId,
        attempt: Attempt,
    },
    /// A request that was sent to the backend server.
    AtBackend {
        process: ProcessId,
        attempt: Attempt,
        call: CallId,
    },
    /// A response that the backend server delays.
    DelayedResponse {
        process: ProcessId,
        attempt: Attempt,
    },
    /// A connection that is being closed.
    Closing {
        process: ProcessId,
        attempt: Attempt,
    },
    /// An answer to a caller.
    Answer {
        call: CallId,
        outcome: Outcome,
        offer: Option<String>,
    },
    /// A peer's answer to an agent.
    PeerAnswer {
        to: ProcessId,
        attempt: Attempt,
        head: UpstreamHead,
        complete: bool,
    },
    /// The reset of a request's stream, on its way to the agent.
    Reset { to: ProcessId, request: RequestId },
}
