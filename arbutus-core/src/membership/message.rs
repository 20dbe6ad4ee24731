use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::{Heartbeat, HeartbeatAck, Keepalive, MessageClass, Push, RepairLeaves, RepairListing};
use crate::config_sync::{ConfigPage, ConfigPull};

/// A control message between agents and balancers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat from an agent to a balancer.
    Heartbeat(Heartbeat),
    /// A balancer's acknowledgement of a heartbeat.
    HeartbeatAck(HeartbeatAck),
    /// A balancer's request for an immediate heartbeat from the agent with this tunnel address.
    Probe(SocketAddrV4),
    /// A keepalive between balancers.
    Keepalive(Keepalive),
    /// Records that changed.
    Push(Push),
    /// The digests of all branches, which start a repair.
    RepairBranches(Vec<u32>),
    /// The leaf digests of a branch that differs.
    RepairLeaves(RepairLeaves),
    /// Digests of the records in leaves that differ.
    RepairListing(RepairListing),
    /// A request for records by the short digests of their keys.
    RepairRequest(Vec<u32>),
    /// A request for configuration changes.
    ConfigPull(ConfigPull),
    /// A page of configuration changes.
    ConfigPage(ConfigPage),
}

impl Message {
    /// Returns the class under which the message's bytes are counted.
    #[must_use]
    pub const fn class(&self) -> MessageClass {
        match self {
            Self::Heartbeat(_) | Self::HeartbeatAck(_) | Self::Probe(_) => MessageClass::Heartbeat,
            Self::Keepalive(_) => MessageClass::Keepalive,
            Self::Push(_) => MessageClass::Push,
            Self::RepairBranches(_)
            | Self::RepairLeaves(_)
            | Self::RepairListing(_)
            | Self::RepairRequest(_) => MessageClass::Repair,
            Self::ConfigPull(_) | Self::ConfigPage(_) => MessageClass::Config,
        }
    }
}
