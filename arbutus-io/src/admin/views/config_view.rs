use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The body of `/config`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigView {
    /// The process's name.
    pub name: Arc<str>,
    /// `balancer` or `agent`.
    pub role: Arc<str>,
    /// The configuration version in force.
    pub version: u64,
}
