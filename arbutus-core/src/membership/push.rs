use serde::{Deserialize, Serialize};

use crate::roster::Update;

/// Records that changed, sent from one balancer to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// The changed records.
    pub updates: Vec<Update>,
}
