//! The clocks that drive the state machines of [`arbutus_core`].

use std::{
    sync::LazyLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use arbutus_core::{ident::Incarnation, time::Timestamp};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the time of the monotonic clock.
///
/// The origin is one hour before the first call, so that times before it can be represented.
#[must_use]
pub fn now() -> Timestamp {
    const HEADROOM_MILLIS: u64 = 3_600_000;
    Timestamp::from_millis(HEADROOM_MILLIS) + START.elapsed()
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
#[must_use]
pub fn wall_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the incarnation of a process that starts now.
#[must_use]
pub fn incarnation() -> Incarnation {
    Incarnation::new(wall_millis())
}
