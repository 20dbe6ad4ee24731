use std::time::Duration;

/// How long and how often a change is tried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tunables {
    /// Longest wait before the first retry; the true wait is drawn below it.
    pub backoff_first: Duration,
    /// Longest wait before any retry.
    pub backoff_longest: Duration,
    /// No retry begins later than this after the start.
    pub give_up_after: Duration,
}

impl Tunables {
    /// Makes the defaults.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            backoff_first: Duration::from_millis(200),
            backoff_longest: Duration::from_secs(5),
            give_up_after: Duration::from_secs(30),
        }
    }

    /// Sets how long a change is tried.
    #[must_use]
    pub const fn give_up_after(mut self, time: Duration) -> Self {
        self.give_up_after = time;
        self
    }
}

impl Default for Tunables {
    fn default() -> Self {
        Self::new()
    }
}
