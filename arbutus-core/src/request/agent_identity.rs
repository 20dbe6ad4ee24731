use std::net::SocketAddrV4;

use crate::ident::{Incarnation, ServiceTag};

/// The identity of this agent, as named in bindings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentIdentity {
    /// Address that receives tunnel datagrams.
    pub tunnel: SocketAddrV4,
    /// Address that receives requests from peers.
    pub control: SocketAddrV4,
    /// The agent's service.
    pub tag: ServiceTag,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
}
