use serde::{Deserialize, Serialize};

use super::{AgentListing, PacketConfig};

/// What a balancer tells another that cannot reach the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerSnapshot {
    /// The configuration in force.
    pub config: Option<PacketConfig>,
    /// Whether it trusts that it knows every agent that holds a flow.
    pub settled: bool,
    /// The agents that it knows.
    pub agents: Vec<AgentListing>,
}
