use serde::{Deserialize, Serialize};

/// What a member says of itself, or others of a member they no longer hear.
///
/// Balancers use the same states. The order is the precedence among records of one incarnation
/// and version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AgentState {
    /// It takes new flows.
    Ready,
    /// It takes no new flows and ends those it has.
    Draining,
    /// A balancer no longer hears it; the member may refute this with its next version.
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

    /// Whether a member in this state is held to be running.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Ready | Self::Draining)
    }
}
