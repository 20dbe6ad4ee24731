use serde::{Deserialize, Serialize};

use super::FlowId;

/// A balancer's question whether an agent owns a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The flow.
    pub flow: FlowId,
    /// The caller's last acknowledgement number.
    pub acknowledged: u32,
}
