use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The body of `/config`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigView {
    /// The process's name.
    pub name: Arc<str>,
    /// The process's role: `balancer` or `agent`.
    pub role: Arc<str>,
    /// The version of the configuration in force.
    pub version: u64,
}
