use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{config::ConfigVersion, ident::ServiceTag};

/// What a balancer or agent sends ahead of a relayed packet.
///
/// Candidates are asked in their order. One that cannot tell whether its backend server holds the
/// flow, because it started after its backend server, marks itself; marked candidates are asked a
/// second time after all others, and then let their backend server decide.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayHeader {
    /// Where the balancer that took the packet from the caller hears of the flow.
    pub balancer: SocketAddrV4,
    /// The configuration by which the balancer decided.
    pub config: ConfigVersion,
    /// The service that may take an opening segment.
    pub service: ServiceTag,
    /// Whether the only candidate has told the balancer that it holds the flow.
    pub known: bool,
    /// Whether nobody but the candidates can hold the flow.
    pub everyone: bool,
    /// At most [`RelayHeader::MAX_CANDIDATES`]; no address stands twice.
    candidates: Vec<SocketAddrV4>,
    /// Index into `candidates`; the length once all were asked.
    position: u8,
    /// Bit `i` says that candidate `i` is to be asked again at the end.
    marked: u16,
    /// Whether marked candidates are being asked for the second time.
    second_round: bool,
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
            known: false,
            everyone: false,
            candidates: kept,
            position: 0,
            marked: 0,
            second_round: false,
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
    pub const fn known(mut self, known: bool) -> Self {
        self.known = known;
        self
    }

    /// Says whether nobody but the candidates can hold the flow.
    #[must_use]
    pub const fn everyone(mut self, everyone: bool) -> Self {
        self.everyone = everyone;
        self
    }

    /// The candidate whose turn it is.
    #[must_use]
    pub fn target(&self) -> Option<SocketAddrV4> {
        self.candidates.get(usize::from(self.position)).copied()
    }

    /// Whether the candidate must let its backend server decide.
    #[must_use]
    pub const fn is_second_round(&self) -> bool {
        self.second_round
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

    /// Has the present candidate asked again after all others.
    pub fn mark(&mut self) {
        if !self.second_round {
            self.marked |= Self::bit(self.position);
        }
    }

    /// Names the candidate after the present one, or nobody.
    ///
    /// Every candidate comes at most twice, so that a packet makes a bounded number of hops.
    pub fn advance(&mut self) -> Option<SocketAddrV4> {
        if !self.second_round {
            self.position = self.position.saturating_add(1);
            if let Some(next) = self.target() {
                return Some(next);
            }
            self.second_round = true;
        } else {
            self.marked &= !Self::bit(self.position);
        }
        if self.marked == 0 {
            self.position = u8::try_from(self.candidates.len()).unwrap_or(u8::MAX);
            return None;
        }
        self.position = u8::try_from(self.marked.trailing_zeros()).unwrap_or(u8::MAX);
        self.target()
    }

    const fn bit(position: u8) -> u16 {
        if (position as usize) < Self::MAX_CANDIDATES {
            1 << position
        } else {
            0
        }
    }
}
