use crate::route::NextHop;

/// The admission decision on a packet that may open a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// This agent owns the flow: the datagram goes to the agent's QUIC endpoint.
    Accept,
    /// Another agent decides: the datagram is sent to that agent under the new header.
    PassOn(NextHop),
    /// No agent accepts the flow: the caller receives a refusal immediately.
    Refuse(Refusal),
    /// The datagram is not a first packet that this agent may handle.
    Drop(FlowDrop),
}

/// The reason why a new flow is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The agent is at capacity, and no other agent is left to try.
    Full,
    /// The agent is draining or stopping, and no other agent is left to try.
    Draining,
}

/// The reason why an agent drops a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FlowDrop {
    /// The datagram belongs to another service.
    WrongService,
    /// The connection ID names another agent.
    OtherAgent,
    /// The connection ID names no agent, and the datagram cannot open a flow.
    ForeignId,
    /// The datagram ends within its connection ID, or the ID is longer than QUIC allows.
    Malformed,
    /// The datagram is too small to open a flow and belongs to no known flow.
    NotFirst,
}
