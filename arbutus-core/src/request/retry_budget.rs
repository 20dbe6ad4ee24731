/// A retry budget: a token bucket, filled by requests, that limits retries to a share of requests.
#[derive(Debug)]
pub(super) struct RetryBudget {
    /// Current balance in hundredths of a retry; at most [`RetryBudget::CAPACITY`].
    level: u32,
}

impl RetryBudget {
    /// Cost of a retry, in hundredths of a retry.
    const ONE_RETRY: u32 = 100;
    /// Maximum balance: ten retries.
    const CAPACITY: u32 = 10 * Self::ONE_RETRY;

    pub(super) const fn new() -> Self {
        Self {
            level: Self::CAPACITY,
        }
    }

    /// Adds `percent` hundredths of a retry for a request.
    pub(super) fn deposit(&mut self, percent: u32) {
        self.level = self.level.saturating_add(percent).min(Self::CAPACITY);
    }

    /// Takes one retry from the budget. Returns `false` if the balance is too low.
    pub(super) const fn withdraw(&mut self) -> bool {
        if self.level < Self::ONE_RETRY {
            return false;
        }
        self.level -= Self::ONE_RETRY;
        true
    }
}
