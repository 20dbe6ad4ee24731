use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{config::ConfigVersion, ident::ServiceTag};

/// What a balancer or agent sends ahead of a relayed packet.
///
/// Candidates get the packet in their order until one keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayHeader {
    /// Where the balancer that took the packet from the caller hears of the flow.
    pub balancer: SocketAddrV4,
    /// The configuration by which the balancer decided.
    pub config: ConfigVersion,
    /// The service that may take an opening segment.
    pub service: ServiceTag,
    /// Whether the only candidate has told the balancer that it holds the flow.
    pub owner_confirmed: bool,
    /// Whether the only candidate, which cannot tell, lets its backend server decide.
    pub last_resort: bool,
    /// At most [`RelayHeader::MAX_CANDIDATES`]; no address stands twice.
    candidates: Vec<SocketAddrV4>,
    /// Index into `candidates`; the length once all were asked.
    position: u8,
}

impl RelayHeader {
    /// Most candidates for one packet.
    pub const MAX_CANDIDATES: usize = 16;

    /// Makes a header that names `candidates`, first choice first; those past the bound are left
    /// out.
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

    /// Sets the configuration that decided.
    #[must_use]
    pub const fn config(mut self, config: ConfigVersion) -> Self {
        self.config = config;
        self
    }

    /// Sets the service that may take an opening segment.
    #[must_use]
    pub const fn service(mut self, service: ServiceTag) -> Self {
        self.service = service;
        self
    }

    /// Says whether the candidate is known to hold the flow.
    #[must_use]
    pub const fn owner_confirmed(mut self, confirmed: bool) -> Self {
        self.owner_confirmed = confirmed;
        self
    }

    /// Says that the candidate lets its backend server decide.
    #[must_use]
    pub const fn last_resort(mut self) -> Self {
        self.last_resort = true;
        self
    }

    /// The candidate whose turn it is.
    #[must_use]
    pub fn target(&self) -> Option<SocketAddrV4> {
        self.candidates.get(usize::from(self.position)).copied()
    }

    /// How many candidates have been asked before this one.
    #[must_use]
    pub const fn hops(&self) -> u8 {
        self.position
    }

    /// The candidates, first choice first.
    #[must_use]
    pub fn candidates(&self) -> &[SocketAddrV4] {
        &self.candidates
    }

    /// Names the candidate after the present one, or nobody.
    ///
    /// Every candidate comes once, so that a packet makes a bounded number of hops.
    pub fn advance(&mut self) -> Option<SocketAddrV4> {
        if usize::from(self.position) < self.candidates.len() {
            self.position += 1;
        }
        self.target()
    }
}
