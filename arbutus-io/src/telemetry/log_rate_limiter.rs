use std::time::Duration;

use arbutus_core::time::Timestamp;

/// How many lines of one kind may be logged each second.
#[derive(Debug, Clone, Copy)]
pub struct LogRateLimiter {
    per_second: u32,
    left: u32,
    left_out: u64,
    refilled_at: Timestamp,
}

impl LogRateLimiter {
    /// Makes a budget of `per_second` lines.
    #[must_use]
    pub const fn new(per_second: u32) -> Self {
        Self {
            per_second,
            left: per_second,
            left_out: 0,
            refilled_at: Timestamp::ZERO,
        }
    }

    /// Takes one line out of the budget; gives `false` where none is left.
    pub fn allow(&mut self, now: Timestamp) -> bool {
        if now.since(self.refilled_at) >= Duration::from_secs(1) {
            self.refilled_at = now;
            self.left = self.per_second;
        }
        if self.left == 0 {
            self.left_out += 1;
            return false;
        }
        self.left -= 1;
        true
    }

    /// How many lines were left out since this was last asked.
    pub const fn take_suppressed(&mut self) -> u64 {
        let left_out = self.left_out;
        self.left_out = 0;
        left_out
    }
}
