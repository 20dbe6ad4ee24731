use serde::{Deserialize, Serialize};

use crate::roster::Update;

/// Records that changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// The records.
    pub updates: Vec<Update>,
}
