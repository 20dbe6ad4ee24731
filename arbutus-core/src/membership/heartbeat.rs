use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{
    config::ConfigVersion,
    roster::{AgentRecord, Rank},
};

/// A heartbeat from an agent to a balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The agent's tunnel address.
    pub tunnel: SocketAddrV4,
    /// The rank of the agent's record.
    pub rank: Rank,
    /// Whether the receiver is one of the agent's homes and therefore watches the agent.
    pub is_home: bool,
    /// The agent's record, until the receiver has acknowledged this rank.
    pub record: Option<AgentRecord>,
    /// The version of the service configuration that the agent holds.
    pub service_version: ConfigVersion,
    /// Whether the agent requests a sample of its peers.
    pub wants_peers: bool,
    /// Whether the agent requests balancers to use as homes.
    pub wants_homes: bool,
}
