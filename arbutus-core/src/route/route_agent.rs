use std::net::SocketAddrV4;

use super::rendezvous;

/// An agent that accepts new flows of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteAgent {
    /// Address at which the agent receives tunnel datagrams.
    pub tunnel: SocketAddrV4,
    /// Weight of the agent in the placement of new flows, in percent; 100 is an equal share among
    /// the agents of the service; above 0.
    pub weight_percent: u32,
    /// Hash of `tunnel`.
    pub(super) tunnel_hash: u64,
}

impl RouteAgent {
    /// Creates an entry for the agent at `tunnel`.
    #[must_use]
    pub fn new(tunnel: SocketAddrV4, weight_percent: u32) -> Self {
        Self {
            tunnel,
            weight_percent,
            tunnel_hash: rendezvous::agent_hash(tunnel),
        }
    }
}
