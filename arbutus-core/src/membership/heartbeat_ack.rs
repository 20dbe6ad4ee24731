use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{
    config::ConfigVersion,
    config_sync::VersionedService,
    ident::Incarnation,
    roster::{AgentRecord, Rank},
};

/// A balancer's acknowledgement of a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// The agent's tunnel address.
    pub tunnel: SocketAddrV4,
    /// The incarnation in the heartbeat. An agent ignores acknowledgements of another incarnation.
    pub incarnation: Incarnation,
    /// The rank of the record that the balancer holds for the address, if any.
    ///
    /// If this rank is higher than the agent's own, the agent raises its own rank above this one.
    pub known_rank: Option<Rank>,
    /// Whether another agent's record at the address has the same incarnation.
    pub conflict: bool,
    /// The configuration version in force at the balancer.
    pub config_version: ConfigVersion,
    /// The configuration of the agent's service, if the agent's version is older.
    pub service: Option<VersionedService>,
    /// Other agents of the service that take new flows, if requested.
    pub peers: Option<Vec<AgentRecord>>,
    /// Balancers to use as homes, if requested.
    pub homes: Option<HomeOffer>,
}

/// Balancers that an agent may use as homes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeOffer {
    /// Control addresses of the balancers responsible for the agent.
    pub homes: Vec<SocketAddrV4>,
    /// Control addresses of further balancers, for failover.
    pub spares: Vec<SocketAddrV4>,
}
