use std::sync::Arc;

use super::{Outcome, Refusal};

/// A final answer that the agent itself gives, without a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// What became of the request.
    pub outcome: Outcome,
    /// Value of `Retry-After` in seconds, where coming back makes sense.
    pub retry_after_s: Option<u32>,
    /// A token for the `arbutus-binding` header.
    pub offer: Option<Arc<str>>,
    /// Why, for logs and metrics.
    pub reason: Refusal,
}

impl Answer {
    /// Makes an answer without advice to the caller.
    #[must_use]
    pub const fn new(status: u16, outcome: Outcome, reason: Refusal) -> Self {
        Self {
            status,
            outcome,
            retry_after_s: None,
            offer: None,
            reason,
        }
    }

    /// Sets when the caller should come back.
    #[must_use]
    pub const fn retry_after_s(mut self, seconds: Option<u32>) -> Self {
        self.retry_after_s = seconds;
        self
    }

    /// Sets the binding to use next.
    #[must_use]
    pub fn offer(mut self, token: Option<Arc<str>>) -> Self {
        self.offer = token;
        self
    }
}
