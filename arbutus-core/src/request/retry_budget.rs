/// Bounds retries to a share of requests (a token bucket filled by requests).
#[derive(Debug)]
pub(super) struct RetryBudget {
    /// In hundredths of a retry; never above [`RetryBudget::CAPACITY`].
    level: u32,
}

impl RetryBudget {
    const ONE_RETRY: u32 = 100;
    const CAPACITY: u32 = 10 * Self::ONE_RETRY;

    pub(super) const fn new() -> Self {
        Self {
            level: Self::CAPACITY,
        }
    }

    /// Counts a request, which earns `percent` hundredths of a retry.
    pub(super) fn earn(&mut self, percent: u32) {
        self.level = self.level.saturating_add(percent).min(Self::CAPACITY);
    }

    /// Takes one retry, if there is one.
    pub(super) const fn spend(&mut self) -> bool {
        if self.level < Self::ONE_RETRY {
            return false;
        }
        self.level -= Self::ONE_RETRY;
        true
    }
}
