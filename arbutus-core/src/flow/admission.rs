use crate::route::NextHop;

/// What an agent does with a packet that may open a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The flow is this agent's: the datagram goes to its QUIC endpoint.
    Accept,
    /// Another agent decides: the datagram goes there under the new header.
    PassOn(NextHop),
    /// No agent takes the flow: the caller is told so at once.
    Refuse(Refusal),
    /// The datagram is no first packet that this agent may handle.
    Drop(FlowDrop),
}

/// Why a new flow is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The agent has no room, and nobody is left to ask.
    Full,
    /// The agent takes no new flows, and nobody is left to ask.
    Draining,
}

/// Why a datagram is dropped by an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FlowDrop {
    /// It belongs to another service.
    WrongService,
    /// Its connection ID names another agent.
    OtherAgent,
    /// Its connection ID names no agent, and it opens no flow.
    ForeignId,
    /// It ends before its connection ID does, or the ID is longer than QUIC allows.
    Malformed,
    /// It is too small to open a flow, and no flow is known that it could belong to.
    NotFirst,
}
