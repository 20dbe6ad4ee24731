use serde::{Deserialize, Serialize};

use crate::roster::MemberDigest;

/// The leaf digests of a branch in which two balancers differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepairLeaves {
    /// The number of the branch.
    pub branch: u16,
    /// A short digest for each leaf of the branch.
    pub digests: Vec<u32>,
}

/// Digests of the records in the leaves in which two balancers differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepairListing {
    /// The numbers of the leaves.
    pub leaves: Vec<u16>,
    /// The digests of all records that the sender has in these leaves.
    pub members: Vec<MemberDigest>,
}
