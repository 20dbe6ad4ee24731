use serde::{Deserialize, Serialize};

use crate::roster::MemberDigest;

/// The leaves of a branch in which two nodes differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepairLeaves {
    /// The branch.
    pub branch: u16,
    /// A digest for each of its leaves.
    pub digests: Vec<u32>,
}

/// The records of leaves in which two nodes differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepairListing {
    /// The leaves.
    pub leaves: Vec<u16>,
    /// All records that the sender has in them.
    pub members: Vec<MemberDigest>,
}
