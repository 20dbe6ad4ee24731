use serde::{Deserialize, Serialize};

use super::AgentState;
use crate::ident::Incarnation;

/// What decides between two copies of a record; the higher one wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank {
    /// The member's life at its address.
    pub incarnation: Incarnation,
    /// Rises with each change that the member makes to its own record.
    pub version: u32,
    /// What is said of the member.
    pub state: AgentState,
}
