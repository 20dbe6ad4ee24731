use std::net::SocketAddrV4;

use super::Candidates;
use crate::ident::ServiceTag;

/// The two ends of a caller's datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoints {
    /// Who sent the datagram.
    pub source: SocketAddrV4,
    /// Whom it is for.
    pub destination: SocketAddrV4,
}

/// What a tunnel datagram says besides its payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TunnelHeader {
    /// The datagram's own ends: a caller and a service address.
    pub endpoints: Endpoints,
    /// The service it belongs to.
    pub tag: ServiceTag,
    /// How many agents have passed the datagram on.
    pub hops: u8,
    /// Who may take the flow next; empty for an established flow.
    pub candidates: Candidates,
    /// The balancer that sent the datagram, where an agent has passed it on.
    pub via: Option<SocketAddrV4>,
}

impl TunnelHeader {
    /// Makes the header of an established flow.
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

    /// Whether only the endpoints and the tag are set, as for an established flow.
    #[must_use]
    pub const fn is_plain(&self) -> bool {
        self.candidates.is_empty() && self.hops == 0 && self.via.is_none()
    }

    /// Sets who may take the flow.
    #[must_use]
    pub const fn candidates(mut self, candidates: Candidates) -> Self {
        self.candidates = candidates;
        self
    }

    /// Sets the balancer that sent the datagram first.
    #[must_use]
    pub const fn via(mut self, balancer: SocketAddrV4) -> Self {
        self.via = Some(balancer);
        self
    }

    /// Sets how many agents have passed the datagram on.
    #[must_use]
    pub const fn hops(mut self, hops: u8) -> Self {
        self.hops = hops;
        self
    }
}
