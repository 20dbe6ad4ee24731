use std::time::Duration;

use arbutus_core::time::Timestamp;

/// A limit on how many lines of one kind are logged each second.
#[derive(Debug, Clone, Copy)]
pub struct LogRateLimiter {
    per_second: u32,
    left: u32,
    suppressed: u64,
    refilled_at: Timestamp,
}

impl LogRateLimiter {
    /// Creates a limiter that allows `per_second` lines each second.
    #[must_use]
    pub const fn new(per_second: u32) -> Self {
        Self {
            per_second,
            left: per_second,
            suppressed: 0,
            refilled_at: Timestamp::ZERO,
        }
    }

    /// Returns whether another line may be logged now, and counts it as suppressed if not.
    pub fn allow(&mut self, now: Timestamp) -> bool {
        if now.since(self.refilled_at) >= Duration::from_secs(1) {
            self.refilled_at = now;
            self.left = self.per_second;
        }
        if self.left == 0 {
            self.suppressed += 1;
            return false;
        }
        self.left -= 1;
        true
    }

    /// Returns the number of lines suppressed since the last call, and resets it.
    pub const fn take_suppressed(&mut self) -> u64 {
        let suppressed = self.suppressed;
        self.suppressed = 0;
        suppressed
    }
}
