use crate::time::Timestamp;

/// An unanswered probe of a balancer without a link.
#[derive(Debug)]
pub(super) struct PendingProbe {
    pub started_at: Timestamp,
    /// When the probe was last sent.
    pub last_sent: Timestamp,
}

impl PendingProbe {
    pub const fn new(now: Timestamp) -> Self {
        Self {
            started_at: now,
            last_sent: now,
        }
    }
}
