use std::net::SocketAddrV4;

use super::Candidates;
use crate::ident::ServiceTag;

/// Source and destination of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoints {
    /// Address of the sender.
    pub source: SocketAddrV4,
    /// Address of the receiver.
    pub destination: SocketAddrV4,
}

/// Header of a tunnel datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TunnelHeader {
    /// Endpoints of the payload: a caller and a service address.
    pub endpoints: Endpoints,
    /// Tag of the service that the payload belongs to.
    pub tag: ServiceTag,
    /// Number of agents that have forwarded the datagram.
    pub hops: u8,
    /// Remaining candidates for a new flow; empty for an established flow.
    pub candidates: Candidates,
    /// The balancer that sent the datagram, if an agent has forwarded it.
    pub via: Option<SocketAddrV4>,
}

impl TunnelHeader {
    /// Creates the header of an established flow.
    #[must_use]
    pub const fn new(endpoints: Endpoints, tag: ServiceTag) -> Self {
        Self {
            endpoints,
            tag,
            hops: 0,
            candidates: Candidates::new(),
            via: None,
        }
    }

    /// Returns whether only the endpoints and the tag are set, as for an established flow.
    #[must_use]
    pub const fn is_plain(&self) -> bool {
        self.candidates.is_empty() && self.hops == 0 && self.via.is_none()
    }

    /// Sets the candidates for the flow.
    #[must_use]
    pub const fn candidates(mut self, candidates: Candidates) -> Self {
        self.candidates = candidates;
        self
    }

    /// Sets the balancer that sent the datagram.
    #[must_use]
    pub const fn via(mut self, balancer: SocketAddrV4) -> Self {
        self.via = Some(balancer);
        self
    }

    /// Sets the number of agents that have forwarded the datagram.
    #[must_use]
    pub const fn hops(mut self, hops: u8) -> Self {
        self.hops = hops;
        self
    }
}
