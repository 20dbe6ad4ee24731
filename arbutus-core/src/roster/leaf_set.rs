use super::{DigestTree, LeafId};

/// A set of leaves of a [`DigestTree`].
#[derive(Debug, Clone)]
pub struct LeafSet {
    /// One bit per leaf.
    bits: [u64; Self::WORDS],
}

impl LeafSet {
    const WORDS: usize = (DigestTree::LEAVES / 64) as usize;

    /// Returns whether the set contains the leaf.
    #[must_use]
    pub const fn contains(&self, leaf: LeafId) -> bool {
        let number = leaf.get();
        self.bits[(number / 64) as usize] >> (number % 64) & 1 == 1
    }

    /// Returns whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bits.iter().all(|word| *word == 0)
    }

    /// Returns the leaves in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = LeafId> {
        (0..DigestTree::LEAVES)
            .filter_map(LeafId::new)
            .filter(|leaf| self.contains(*leaf))
    }
}

impl FromIterator<LeafId> for LeafSet {
    fn from_iter<I: IntoIterator<Item = LeafId>>(iter: I) -> Self {
        let mut bits = [0; Self::WORDS];
        for leaf in iter {
            let number = leaf.get();
            bits[usize::from(number / 64)] |= 1 << (number % 64);
        }
        Self { bits }
    }
}
