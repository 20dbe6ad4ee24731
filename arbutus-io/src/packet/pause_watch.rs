use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Notices that the process did not run for a while: frozen, or on a VM that was suspended.
///
/// The steady clock stands still while a VM is suspended, so that the time since boot is compared.
#[derive(Debug)]
pub(super) struct PauseWatch {
    last: Duration,
}

impl PauseWatch {
    /// Time between two looks from which on the process was held up by more than load.
    const PAUSE: Duration = Duration::from_millis(1_500);

    pub(super) fn new() -> Self {
        Self { last: since_boot() }
    }

    /// Gives how long the process has not run, if it was paused since the last look.
    pub(super) fn look(&mut self) -> Option<Duration> {
        let now = since_boot();
        let passed = now.saturating_sub(self.last);
        self.last = now;
        (passed >= Self::PAUSE).then_some(passed)
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
