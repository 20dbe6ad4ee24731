use super::DropReason;

/// Number of dropped packets by reason; each worker has its own, so that no lock is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DropCounts {
    /// Counts, indexed by [`DropReason::index`].
    counts: [u64; DropReason::ALL.len()],
}

impl DropCounts {
    /// Creates counts of zero.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            counts: [0; DropReason::ALL.len()],
        }
    }

    /// Counts one dropped packet.
    pub const fn record(&mut self, reason: DropReason) {
        self.counts[reason.index()] += 1;
    }

    /// Returns the number of packets dropped for `reason`.
    #[must_use]
    pub const fn get(&self, reason: DropReason) -> u64 {
        self.counts[reason.index()]
    }

    /// Adds the counts of another worker.
    pub fn merge(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count += more;
        }
    }

    /// Returns the number of packets dropped for any reason.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }
}
