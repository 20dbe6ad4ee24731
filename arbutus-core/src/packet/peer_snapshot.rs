use serde::{Deserialize, Serialize};

use super::{AgentListing, PacketConfig};

/// A balancer's state, as it sends it to a balancer that cannot reach the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerSnapshot {
    /// The configuration in force.
    pub config: Option<PacketConfig>,
    /// Whether the sender's view is complete: it contains every agent that owns a flow.
    pub settled: bool,
    /// The agents in the sender's view.
    pub agents: Vec<AgentListing>,
}
