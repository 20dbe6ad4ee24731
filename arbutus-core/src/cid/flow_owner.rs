use std::net::SocketAddrV4;

use crate::ident::{Incarnation, ServiceTag};

/// The agent that owns a flow, as a connection ID names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FlowOwner {
    /// The agent's tunnel address.
    pub agent: SocketAddrV4,
    /// The service the flow belongs to.
    pub tag: ServiceTag,
    /// The low bits of the agent's incarnation.
    pub incarnation: u16,
}

impl FlowOwner {
    /// Names the owner of a new flow.
    #[must_use]
    pub const fn new(agent: SocketAddrV4, tag: ServiceTag, incarnation: Incarnation) -> Self {
        Self {
            agent,
            tag,
            incarnation: incarnation.short(),
        }
    }
}
