use std::time::Duration;

use crate::time::Timestamp;

/// Share of new flows that a new agent starts with, in thousandths of its full share.
const MIN_SHARE_PERMILLE: u64 = 100;
/// The full share, in thousandths.
const FULL_SHARE_PERMILLE: u64 = 1_000;

/// The linear growth of a new agent's share of new flows to its full share.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ramp {
    start: Timestamp,
    duration: Duration,
}

impl Ramp {
    pub(super) const fn new(start: Timestamp, duration_ms: u64) -> Self {
        Self {
            start,
            duration: Duration::from_millis(duration_ms),
        }
    }

    pub(super) const fn set_duration_ms(&mut self, duration_ms: u64) {
        self.duration = Duration::from_millis(duration_ms);
    }

    /// Returns the current share, in thousandths of the full share.
    pub(super) fn share_permille(&self, now: Timestamp) -> u64 {
        let elapsed = now.since(self.start);
        if elapsed >= self.duration {
            return FULL_SHARE_PERMILLE;
        }
        let grown =
            elapsed.as_micros() * u128::from(FULL_SHARE_PERMILLE) / self.duration.as_micros();
        u64::try_from(grown)
            .unwrap_or(FULL_SHARE_PERMILLE)
            .clamp(MIN_SHARE_PERMILLE, FULL_SHARE_PERMILLE)
    }

    /// Returns the part of `limit` that may currently be used; at least 1 if `limit` is above 0.
    pub(super) fn scale(&self, limit: u32, now: Timestamp) -> u32 {
        let scaled = (u64::from(limit) * self.share_permille(now)).div_ceil(FULL_SHARE_PERMILLE);
        u32::try_from(scaled).unwrap_or(limit)
    }
}
