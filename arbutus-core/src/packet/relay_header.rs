use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{config::ConfigVersion, ident::ServiceTag};

/// The header that a balancer or agent sends with a relayed packet.
///
/// The candidates get the packet one after another until one accepts it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayHeader {
    /// The address where the balancer that received the packet from the caller receives messages.
    pub balancer: SocketAddrV4,
    /// The configuration version of the forwarding decision.
    pub config: ConfigVersion,
    /// The service whose agents may accept an opening segment.
    pub service: ServiceTag,
    /// Whether the first candidate has confirmed to the balancer that it owns the flow.
    pub owner_confirmed: bool,
    /// Whether the only candidate, whose flow table is incomplete, delivers the packet to its
    /// backend server, whose response shows whether it holds the flow.
    pub last_resort: bool,
    /// The candidates, first choice first; at most [`RelayHeader::MAX_CANDIDATES`], without
    /// duplicates.
    candidates: Vec<SocketAddrV4>,
    /// The index of the current candidate, or the length of `candidates` after the last one.
    position: u8,
}

impl RelayHeader {
    /// The maximum number of candidates for one packet.
    pub const MAX_CANDIDATES: usize = 16;

    /// Creates a header with `candidates`, first choice first.
    ///
    /// Duplicates and candidates beyond [`RelayHeader::MAX_CANDIDATES`] are left out.
    #[must_use]
    pub fn new(balancer: SocketAddrV4, candidates: impl IntoIterator<Item = SocketAddrV4>) -> Self {
        let mut kept: Vec<SocketAddrV4> = Vec::with_capacity(Self::MAX_CANDIDATES);
        for candidate in candidates {
            if kept.len() < Self::MAX_CANDIDATES && !kept.contains(&candidate) {
                kept.push(candidate);
            }
        }
        Self {
            balancer,
            config: ConfigVersion::NONE,
            service: ServiceTag::default(),
            owner_confirmed: false,
            last_resort: false,
            candidates: kept,
            position: 0,
        }
    }

    /// Sets the configuration version of the forwarding decision.
    #[must_use]
    pub const fn config(mut self, config: ConfigVersion) -> Self {
        self.config = config;
        self
    }

    /// Sets the service whose agents may accept an opening segment.
    #[must_use]
    pub const fn service(mut self, service: ServiceTag) -> Self {
        self.service = service;
        self
    }

    /// Sets whether the first candidate has confirmed that it owns the flow.
    #[must_use]
    pub const fn owner_confirmed(mut self, confirmed: bool) -> Self {
        self.owner_confirmed = confirmed;
        self
    }

    /// Marks the packet as a last-resort delivery to the backend server of the only candidate.
    #[must_use]
    pub const fn last_resort(mut self) -> Self {
        self.last_resort = true;
        self
    }

    /// Returns the current candidate.
    #[must_use]
    pub fn target(&self) -> Option<SocketAddrV4> {
        self.candidates.get(usize::from(self.position)).copied()
    }

    /// Returns the number of candidates before the current one.
    #[must_use]
    pub const fn hops(&self) -> u8 {
        self.position
    }

    /// Returns whether there is a candidate after the current one.
    #[must_use]
    pub fn has_next(&self) -> bool {
        usize::from(self.position) + 1 < self.candidates.len()
    }

    /// Returns the candidates, first choice first.
    #[must_use]
    pub fn candidates(&self) -> &[SocketAddrV4] {
        &self.candidates
    }

    /// Advances to the next candidate and returns it, or `None` if there is none left.
    ///
    /// Each candidate has one turn, so that the number of hops of a packet is bounded.
    pub fn advance(&mut self) -> Option<SocketAddrV4> {
        if usize::from(self.position) < self.candidates.len() {
            self.position += 1;
        }
        self.target()
    }
}
