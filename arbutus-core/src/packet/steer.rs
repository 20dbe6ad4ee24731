use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use super::RelayHeader;

/// What a balancer does with a caller's packet.
#[derive(Debug, Clone, PartialEq)]
pub enum SteeringDecision {
    /// Send it to the header's present candidate.
    Relay {
        /// What goes ahead of the packet.
        header: RelayHeader,
        /// Set where the packet was the first of a new flow here.
        placement: Option<PlacementChoice>,
    },
    /// These agents are asked who holds the flow, with the next round of questions; the packet is
    /// held.
    Query(Vec<SocketAddrV4>),
    /// The packet is held until the agents have answered.
    Buffered,
    /// Nobody gets it.
    Drop(SteeringDropReason),
}

/// Why a new flow went where it did.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementChoice {
    /// The route of the service address.
    pub route: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The agent.
    pub agent: SocketAddrV4,
    /// Its flows for each slot, with the cost of distance.
    pub score: f64,
    /// How many agents were weighed.
    pub weighed: usize,
    /// Age of the load report behind the score.
    pub report_age: Option<Duration>,
}

/// Why a balancer drops a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SteeringDropReason {
    /// No configuration has come yet.
    NoConfig,
    /// The configuration has no route for the address.
    NoRoute,
    /// No agent of the service is known that could take the packet.
    NoAgent,
    /// As many flows are searched as the balancer has room for.
    TooManyLookups,
    /// The packet claims to come from a backend server.
    NotACaller,
}

impl SteeringDropReason {
    /// The reason as metrics and logs name it.
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
