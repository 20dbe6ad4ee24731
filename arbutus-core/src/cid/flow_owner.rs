use std::net::SocketAddrV4;

use crate::ident::{Incarnation, ServiceTag};

/// The agent that owns a flow, as encoded in a connection ID.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FlowOwner {
    /// Tunnel address of the agent.
    pub agent: SocketAddrV4,
    /// Tag of the service that the flow belongs to.
    pub tag: ServiceTag,
    /// Low bits of the agent's incarnation.
    pub incarnation: u16,
}

impl FlowOwner {
    /// Creates the owner of a new flow.
    #[must_use]
    pub const fn new(agent: SocketAddrV4, tag: ServiceTag, incarnation: Incarnation) -> Self {
        Self {
            agent,
            tag,
            incarnation: incarnation.short(),
        }
    }
}
