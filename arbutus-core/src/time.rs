//! Timestamps used by the state machines.

use std::time::Duration;

/// A point in time on a clock provided by the code that drives a state machine.
///
/// The resolution is one microsecond. Daemons use a monotonic clock, tests use arbitrary numbers.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use arbutus_core::time::Timestamp;
///
/// let start = Timestamp::from_micros(1_000);
/// let later = start + Duration::from_millis(2);
/// assert_eq!(later.since(start), Duration::from_millis(2));
/// assert_eq!(start.since(later), Duration::ZERO);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);
    /// A timestamp that no clock reaches.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a timestamp from microseconds since the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a timestamp from milliseconds since the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds since the origin, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
