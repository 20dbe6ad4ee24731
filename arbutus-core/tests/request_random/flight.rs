//! What is on its way between callers, agents and backend servers.

use arbutus_core::request::{Attempt, Outcome, RequestId, UpstreamHead};

use crate::journal::{CallId, Life};

/// Where an agent's answer goes.
#[derive(Debug, Clone, Copy)]
pub enum Asker {
    Caller,
    Peer(Life, Attempt),
}

/// Something on its way.
#[derive(Debug, Clone)]
pub enum Flight {
    /// A request to an agent.
    Request {
        to: usize,
        call: CallId,
        asker: Asker,
    },
    /// A wish for a connection to the backend server.
    Connect { life: Life, attempt: Attempt },
    /// A request's bytes at the backend server.
    AtBackend {
        life: Life,
        attempt: Attempt,
        call: CallId,
    },
    /// A response that the backend server holds back.
    LateAnswer { life: Life, attempt: Attempt },
    /// A connection that is being closed.
    Closing { life: Life, attempt: Attempt },
    /// An answer to a caller.
    Answer {
        call: CallId,
        outcome: Outcome,
        offer: Option<String>,
    },
    /// A peer's answer to an agent.
    PeerAnswer {
        to: Life,
        attempt: Attempt,
        head: UpstreamHead,
        whole: bool,
    },
    /// A peer's stream that was reset.
    Reset { to: Life, request: RequestId },
}
