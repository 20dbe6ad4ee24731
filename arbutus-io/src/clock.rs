//! The clocks that the daemons feed to the decisions.

use std::{
    sync::LazyLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use arbutus_core::{ident::Incarnation, time::Timestamp};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// The monotonic clock's time since the process first asked.
///
/// The origin lies one hour before, so that decisions may look back.
#[must_use]
pub fn now() -> Timestamp {
    const HEADROOM_MILLIS: u64 = 3_600_000;
    Timestamp::from_millis(HEADROOM_MILLIS) + START.elapsed()
}

/// The wall clock, in milliseconds since the Unix epoch.
#[must_use]
pub fn wall_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// The incarnation of a process that starts now.
#[must_use]
pub fn incarnation() -> Incarnation {
    Incarnation::new(wall_millis())
}
