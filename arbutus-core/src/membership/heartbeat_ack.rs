use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{
    config::ConfigVersion,
    config_sync::VersionedService,
    ident::Incarnation,
    roster::{AgentRecord, Rank},
};

/// A balancer's answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// The agent's tunnel address.
    pub tunnel: SocketAddrV4,
    /// The incarnation of the heartbeat; an answer to another one's is ignored.
    pub incarnation: Incarnation,
    /// The rank of the record that the balancer holds, if it holds one.
    ///
    /// Where it is above the agent's own, the agent goes above it.
    pub known_rank: Option<Rank>,
    /// Whether that record has the agent's incarnation and is another agent's.
    pub conflict: bool,
    /// The configuration in force at the balancer.
    pub config_version: ConfigVersion,
    /// The agent's service, where the agent's copy is older.
    pub service: Option<VersionedService>,
    /// Other agents of the service that take flows, if asked for.
    pub peers: Option<Vec<AgentRecord>>,
    /// Control addresses of balancers for the agent, if asked for.
    pub homes: Option<HomeOffer>,
}

/// Balancers that an agent may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeOffer {
    /// Those responsible for the agent.
    pub homes: Vec<SocketAddrV4>,
    /// Others, for when those fail.
    pub spares: Vec<SocketAddrV4>,
}
