use serde::{Deserialize, Serialize};

use super::FlowId;

/// A balancer's question whether an agent holds a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The flow.
    pub flow: FlowId,
    /// What its caller acknowledged last.
    pub acknowledged: u32,
}
