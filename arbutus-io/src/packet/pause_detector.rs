use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Detects that the process did not run for a while, because it was frozen or its VM was suspended.
///
/// The time since boot is compared because the monotonic clock stops while a VM is suspended.
#[derive(Debug)]
pub(super) struct PauseDetector {
    /// Time since boot at the last check.
    last: Duration,
}

impl PauseDetector {
    /// Minimum time between two checks that counts as a pause. Load alone causes shorter delays.
    const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);

    pub(super) fn new() -> Self {
        Self { last: since_boot() }
    }

    /// Returns the time since the last check if the process was paused in between.
    pub(super) fn check(&mut self) -> Option<Duration> {
        let now = since_boot();
        let passed = now.saturating_sub(self.last);
        self.last = now;
        (passed >= Self::PAUSE_THRESHOLD).then_some(passed)
    }
}

fn since_boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(err) => {
            tracing::warn!(%err, "boot_clock_unreadable");
            Duration::ZERO
        }
    }
}
