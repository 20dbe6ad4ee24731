//! The wall clock that all processes of one machine share.

use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds since the Unix epoch.
#[must_use]
pub fn now_micros() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
