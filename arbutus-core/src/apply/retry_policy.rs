use std::time::Duration;

/// Limits on the retries of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Upper bound of the delay before the first retry; the bound doubles with each failure.
    ///
    /// The actual delay is drawn at random from the upper half of the bound.
    pub initial_backoff: Duration,
    /// Upper bound of the delay before any retry.
    pub max_backoff: Duration,
    /// Time after the start of the change after which no retry begins.
    pub retry_timeout: Duration,
}

impl RetryPolicy {
    /// Creates the default policy.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            initial_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_secs(5),
            retry_timeout: Duration::from_secs(30),
        }
    }

    /// Sets the time after the start of the change after which no retry begins.
    #[must_use]
    pub const fn retry_timeout(mut self, timeout: Duration) -> Self {
        self.retry_timeout = timeout;
        self
    }
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self::new()
    }
}
