use std::time::Duration;

/// How long and how often a change is tried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Longest wait before the first retry; the true wait is drawn below it.
    pub initial_backoff: Duration,
    /// Longest wait before any retry.
    pub max_backoff: Duration,
    /// No retry begins later than this after the start.
    pub retry_timeout: Duration,
}

impl RetryPolicy {
    /// Makes the defaults.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            initial_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_secs(5),
            retry_timeout: Duration::from_secs(30),
        }
    }

    /// Sets how long a change is tried.
    #[must_use]
    pub const fn retry_timeout(mut self, time: Duration) -> Self {
        self.retry_timeout = time;
        self
    }
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self::new()
    }
}
