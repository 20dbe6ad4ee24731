use serde::{Deserialize, Serialize};

use super::AgentState;
use crate::ident::Incarnation;

/// The precedence of a copy of a record; the copy with the higher rank wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank {
    /// The member's incarnation at its address.
    pub incarnation: Incarnation,
    /// Version of the record, increased by each change that the member makes.
    pub version: u32,
    /// The member's state.
    pub state: AgentState,
}
