use std::time::Duration;

use crate::time::Timestamp;

/// The share that a new agent begins with.
const FLOOR_PERMILLE: u64 = 100;
const FULL_PERMILLE: u64 = 1_000;

/// The growth of a new agent's share of work to its full weight.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ramp {
    start: Timestamp,
    length: Duration,
}

impl Ramp {
    pub(super) const fn new(start: Timestamp, length_ms: u64) -> Self {
        Self {
            start,
            length: Duration::from_millis(length_ms),
        }
    }

    pub(super) const fn set_length_ms(&mut self, length_ms: u64) {
        self.length = Duration::from_millis(length_ms);
    }

    /// The present share, in thousandths of the full one.
    pub(super) fn permille(&self, now: Timestamp) -> u64 {
        let passed = now.since(self.start);
        if passed >= self.length {
            return FULL_PERMILLE;
        }
        let grown = passed.as_micros() * u128::from(FULL_PERMILLE) / self.length.as_micros();
        u64::try_from(grown)
            .unwrap_or(FULL_PERMILLE)
            .clamp(FLOOR_PERMILLE, FULL_PERMILLE)
    }

    /// The part of `limit` that may be used at present; at least 1 of a limit above 0.
    pub(super) fn scale(&self, limit: u32, now: Timestamp) -> u32 {
        let scaled = (u64::from(limit) * self.permille(now)).div_ceil(FULL_PERMILLE);
        u32::try_from(scaled).unwrap_or(limit)
    }
}
