use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use super::RelayHeader;

/// A balancer's forwarding decision for a caller's packet.
#[derive(Debug, Clone, PartialEq)]
pub enum SteeringDecision {
    /// Send the packet to the header's current candidate.
    Relay {
        /// The header to send the packet with.
        header: RelayHeader,
        /// The placement, if this balancer placed the packet's flow with this packet.
        placement: Option<PlacementChoice>,
    },
    /// Query these agents for the flow's owner with the next round of questions. The packet is
    /// buffered.
    Query(Vec<SocketAddrV4>),
    /// Nothing: the packet is buffered until the agents have answered.
    Buffered,
    /// Drop the packet.
    Drop(SteeringDropReason),
}

/// The placement of a new flow and the reasons for it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementChoice {
    /// The name of the route for the service address.
    pub route: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The agent.
    pub agent: SocketAddrV4,
    /// The agent's flows per slot, plus the cost of another failure domain.
    pub score: f64,
    /// The number of agents that were compared.
    pub weighed: usize,
    /// The age of the load report behind the score.
    pub report_age: Option<Duration>,
}

/// Why a balancer drops a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SteeringDropReason {
    /// The balancer has no configuration yet.
    NoConfig,
    /// The configuration has no route for the address.
    NoRoute,
    /// No known agent of the service can take the packet.
    NoAgent,
    /// The number of concurrent lookups is at its limit.
    TooManyLookups,
    /// The packet has the flags of a backend server's packet.
    NotACaller,
}

impl SteeringDropReason {
    /// Returns the reason's name in metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "no-config",
            Self::NoRoute => "no-route",
            Self::NoAgent => "no-agent",
            Self::TooManyLookups => "too-many-searches",
            Self::NotACaller => "not-a-caller",
        }
    }
}
