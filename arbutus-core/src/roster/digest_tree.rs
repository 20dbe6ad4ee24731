/// The place of a record in the [`DigestTree`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeafId(u16);

impl LeafId {
    /// The leaf of the record whose key has this digest.
    #[must_use]
    pub const fn from_key_digest(key_digest: u64) -> Self {
        Self((key_digest >> 52) as u16)
    }

    /// The leaf with this number, if there is one.
    #[must_use]
    pub const fn new(number: u16) -> Option<Self> {
        if number < DigestTree::LEAVES {
            Some(Self(number))
        } else {
            None
        }
    }

    /// Its number.
    #[must_use]
    pub const fn get(self) -> u16 {
        self.0
    }

    /// The branch that it belongs to.
    #[must_use]
    pub const fn branch(self) -> u16 {
        self.0 / DigestTree::FANOUT
    }
}

/// Digests over all records, in two levels.
///
/// Two nodes that compare them find the few records in which they differ at a cost that follows
/// the number of differences.
#[derive(Debug)]
pub struct DigestTree {
    /// The exclusive or of all records of a leaf.
    leaves: Box<[u64]>,
    /// The exclusive or of the leaves of a branch.
    branches: Box<[u64]>,
}

impl DigestTree {
    /// Branches of the tree, and leaves of a branch.
    pub const FANOUT: u16 = 64;
    /// Leaves of the tree.
    pub const LEAVES: u16 = Self::FANOUT * Self::FANOUT;

    /// Makes the tree of no records.
    #[must_use]
    pub fn new() -> Self {
        Self {
            leaves: vec![0; usize::from(Self::LEAVES)].into(),
            branches: vec![0; usize::from(Self::FANOUT)].into(),
        }
    }

    /// Puts a record in or takes it out again.
    pub fn toggle(&mut self, leaf: LeafId, record_digest: u64) {
        self.leaves[usize::from(leaf.get())] ^= record_digest;
        self.branches[usize::from(leaf.branch())] ^= record_digest;
    }

    /// One number for all records.
    #[must_use]
    pub fn root(&self) -> u64 {
        self.branches.iter().fold(0, |root, it| root ^ it)
    }

    /// A short digest for each branch.
    #[must_use]
    pub fn branches(&self) -> Vec<u32> {
        self.branches.iter().copied().map(short).collect()
    }

    /// A short digest for each leaf of `branch`; none where there is no such branch.
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
