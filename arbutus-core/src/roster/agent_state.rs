use serde::{Deserialize, Serialize};

/// The state of a member, announced by the member itself or, for `Suspect`, by a balancer.
///
/// Used for agents and balancers. The order of the variants is the precedence among records of the
/// same incarnation and version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AgentState {
    /// The member takes new flows.
    Ready,
    /// The member takes no new flows, and existing flows are finished.
    Draining,
    /// A balancer no longer receives messages from the member. The member may refute the suspicion
    /// with its next version.
    Suspect,
    /// The member has announced that it left.
    Gone,
}

impl AgentState {
    /// Returns whether an agent in this state may receive new flows.
    #[must_use]
    pub const fn takes_new_flows(self) -> bool {
        matches!(self, Self::Ready)
    }

    /// Returns whether a member in this state is considered to be running.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Ready | Self::Draining)
    }
}
