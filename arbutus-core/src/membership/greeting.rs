use crate::time::Timestamp;

/// A balancer without a link that was asked whether it runs.
#[derive(Debug)]
pub(super) struct Greeting {
    pub begun: Timestamp,
    /// When it was last repeated.
    pub last: Timestamp,
}

impl Greeting {
    pub const fn new(now: Timestamp) -> Self {
        Self {
            begun: now,
            last: now,
        }
    }
}
