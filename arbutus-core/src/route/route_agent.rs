use std::net::SocketAddrV4;

use super::rendezvous;

/// One agent that takes new flows of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteAgent {
    /// Where it takes tunnel datagrams.
    pub tunnel: SocketAddrV4,
    /// Its share of new flows against others of the service, in percent of an equal one; above 0.
    pub weight_percent: u32,
    /// The hash of `tunnel`.
    pub(super) seed: u64,
}

impl RouteAgent {
    /// Makes an entry for the agent at `tunnel`.
    #[must_use]
    pub fn new(tunnel: SocketAddrV4, weight_percent: u32) -> Self {
        Self {
            tunnel,
            weight_percent,
            seed: rendezvous::agent_hash(tunnel),
        }
    }
}
