use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::{Heartbeat, HeartbeatAck, Keepalive, MessageClass, Push, RepairLeaves, RepairListing};
use crate::config_sync::{ConfigPage, ConfigPull};

/// Everything that control sends between the system's processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// An agent tells a home balancer that it runs.
    Heartbeat(Heartbeat),
    /// A balancer's answer.
    HeartbeatAck(HeartbeatAck),
    /// A balancer asks the agent with this tunnel address for a heartbeat now.
    Probe(SocketAddrV4),
    /// A balancer tells another that it runs, and what it holds.
    Keepalive(Keepalive),
    /// Records that changed.
    Push(Push),
    /// Begins a repair: a digest for each branch.
    RepairBranches(Vec<u32>),
    /// The leaves of a branch that differs.
    RepairLeaves(RepairLeaves),
    /// The records of leaves that differ.
    RepairListing(RepairListing),
    /// Asks for records by short digests of their keys.
    RepairRequest(Vec<u32>),
    /// Asks for what has changed in the configuration.
    ConfigPull(ConfigPull),
    /// What has changed in the configuration.
    ConfigPage(ConfigPage),
}

impl Message {
    /// What its bytes are counted as.
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
