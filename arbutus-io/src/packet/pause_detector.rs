use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Notices that the process did not run for a while: frozen, or on a VM that was suspended.
///
/// The steady clock stands still while a VM is suspended, so that the time since boot is compared.
#[derive(Debug)]
pub(super) struct PauseDetector {
    last: Duration,
}

impl PauseDetector {
    /// Time between two looks from which on the process was held up by more than load.
    const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);

    pub(super) fn new() -> Self {
        Self {
            last: time_since_boot(),
        }
    }

    /// Gives how long the process has not run, if it was paused since the last look.
    pub(super) fn check(&mut self) -> Option<Duration> {
        let now = time_since_boot();
        let passed = now.saturating_sub(self.last);
        self.last = now;
        (passed >= Self::PAUSE_THRESHOLD).then_some(passed)
    }
}

fn time_since_boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(err) => {
            tracing::warn!(%err, "boot_clock_unreadable");
            Duration::ZERO
        }
    }
}
