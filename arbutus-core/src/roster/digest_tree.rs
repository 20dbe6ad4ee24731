/// The number of a leaf of a [`DigestTree`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeafId(u16);

impl LeafId {
    /// Returns the leaf of the record whose key has this digest.
    #[must_use]
    pub const fn from_key_digest(key_digest: u64) -> Self {
        Self((key_digest >> 52) as u16)
    }

    /// Returns the leaf with this number, or `None` if the number is out of range.
    #[must_use]
    pub const fn new(number: u16) -> Option<Self> {
        if number < DigestTree::LEAVES {
            Some(Self(number))
        } else {
            None
        }
    }

    /// Returns the number of the leaf.
    #[must_use]
    pub const fn get(self) -> u16 {
        self.0
    }

    /// Returns the number of the branch that contains the leaf.
    #[must_use]
    pub const fn branch(self) -> u16 {
        self.0 / DigestTree::FANOUT
    }
}

/// A two-level tree of digests over all records.
///
/// Two nodes that compare their trees find the records in which they differ at a cost proportional
/// to the number of differences.
#[derive(Debug)]
pub struct DigestTree {
    /// For each leaf, the exclusive or of its record digests.
    leaves: Box<[u64]>,
    /// For each branch, the exclusive or of its leaves.
    branches: Box<[u64]>,
}

impl DigestTree {
    /// Number of branches in the tree, and of leaves in each branch.
    pub const FANOUT: u16 = 64;
    /// Number of leaves in the tree.
    pub const LEAVES: u16 = Self::FANOUT * Self::FANOUT;

    /// Creates the tree of an empty roster.
    #[must_use]
    pub fn new() -> Self {
        Self {
            leaves: vec![0; usize::from(Self::LEAVES)].into(),
            branches: vec![0; usize::from(Self::FANOUT)].into(),
        }
    }

    /// Adds a record digest, or removes one that was added before.
    pub fn toggle(&mut self, leaf: LeafId, record_digest: u64) {
        self.leaves[usize::from(leaf.get())] ^= record_digest;
        self.branches[usize::from(leaf.branch())] ^= record_digest;
    }

    /// Returns the digest of all records.
    #[must_use]
    pub fn root(&self) -> u64 {
        self.branches.iter().fold(0, |root, it| root ^ it)
    }

    /// Returns a short digest for each branch.
    #[must_use]
    pub fn branches(&self) -> Vec<u32> {
        self.branches.iter().copied().map(short).collect()
    }

    /// Returns a short digest for each leaf of `branch`, or nothing if there is no such branch.
    #[must_use]
    pub fn leaves_of(&self, branch: u16) -> Vec<u32> {
        let first = usize::from(branch) * usize::from(Self::FANOUT);
        let last = first + usize::from(Self::FANOUT);
        self.leaves
            .get(first..last)
            .map(|leaves| leaves.iter().copied().map(short).collect())
            .unwrap_or_default()
    }
}

impl Default for DigestTree {
    fn default() -> Self {
        Self::new()
    }
}

const fn short(digest: u64) -> u32 {
    (digest >> 32) as u32
}
