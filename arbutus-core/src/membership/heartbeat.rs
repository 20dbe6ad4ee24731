use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{
    config::ConfigVersion,
    roster::{AgentRecord, Rank},
};

/// An agent tells a balancer that it runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The agent's tunnel address.
    pub tunnel: SocketAddrV4,
    /// The rank of its record.
    pub rank: Rank,
    /// Whether the receiver is one of its home balancers, and so is to watch it.
    pub is_home: bool,
    /// Its record, until the receiver has acknowledged this rank.
    pub record: Option<AgentRecord>,
    /// The version of its service's configuration that it has.
    pub service_version: ConfigVersion,
    /// Whether it asks for a sample of its peers.
    pub wants_peers: bool,
    /// Whether it asks for balancers it may use.
    pub wants_homes: bool,
}
