use std::net::SocketAddrV4;

use crate::ident::{Incarnation, ServiceTag};

/// Who this agent is, as bindings name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentIdentity {
    /// Where it takes tunnel datagrams.
    pub tunnel: SocketAddrV4,
    /// Where it takes requests of peers.
    pub control: SocketAddrV4,
    /// Its service.
    pub tag: ServiceTag,
    /// Its life at this address.
    pub incarnation: Incarnation,
}
