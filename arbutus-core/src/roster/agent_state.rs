use serde::{Deserialize, Serialize};

/// What an agent says of itself, or others of an agent they no longer hear.
///
/// The order is the precedence among records of one incarnation and version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AgentState {
    /// It takes new flows.
    Ready,
    /// It takes no new flows and ends those it has.
    Draining,
    /// A balancer no longer hears it; the agent may refute this with its next version.
    Suspect,
    /// It has said that it leaves, or was suspect for too long.
    Gone,
}

impl AgentState {
    /// Whether new flows may go to an agent in this state.
    #[must_use]
    pub const fn takes_new_flows(self) -> bool {
        matches!(self, Self::Ready)
    }
}
