use serde::{Deserialize, Serialize};

use super::{AgentView, BalancerView};

/// The body of `/roster`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RosterView {
    /// The balancers in the process's roster; a balancer lists itself first.
    pub balancers: Vec<BalancerView>,
    /// The agents in the process's roster; an agent lists itself first.
    pub agents: Vec<AgentView>,
}
