use super::DropReason;

/// How many packets were dropped, by reason; one for each worker, so that no lock is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DropCounts {
    /// At the index of a reason.
    counts: [u64; DropReason::ALL.len()],
}

impl DropCounts {
    /// Makes counts of nothing.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            counts: [0; DropReason::ALL.len()],
        }
    }

    /// Counts one packet.
    pub const fn record(&mut self, reason: DropReason) {
        self.counts[reason.index()] += 1;
    }

    /// How many packets were dropped for `reason`.
    #[must_use]
    pub const fn get(&self, reason: DropReason) -> u64 {
        self.counts[reason.index()]
    }

    /// Adds what another worker counted.
    pub fn merge(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count += more;
        }
    }

    /// How many packets were dropped for any reason.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }
}
