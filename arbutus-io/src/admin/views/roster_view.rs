use serde::{Deserialize, Serialize};

use super::{AgentView, BalancerView};

/// The body of `/roster`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RosterView {
    /// The balancers this process knows, itself included.
    pub balancers: Vec<BalancerView>,
    /// The agents this process knows.
    pub agents: Vec<AgentView>,
}
