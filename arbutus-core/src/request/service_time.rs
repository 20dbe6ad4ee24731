use std::time::Duration;

/// Exponentially weighted estimates of the time for which a request holds its slot.
#[derive(Debug, Default)]
pub(super) struct ServiceTime {
    samples: u64,
    mean_micros: f64,
    /// Low estimate: follows short times quickly and long times slowly.
    low_micros: f64,
}

impl ServiceTime {
    const MEAN_WEIGHT: f64 = 0.1;
    const LOW_FALL_WEIGHT: f64 = 0.25;
    const LOW_RISE_WEIGHT: f64 = 0.02;

    /// Records the time for which a finished request held its slot.
    pub(super) fn record(&mut self, held: Duration) {
        let micros = held.as_secs_f64() * 1e6;
        self.samples += 1;
        if self.samples == 1 {
            self.mean_micros = micros;
            self.low_micros = micros;
            return;
        }
        let weight = if micros < self.low_micros {
            Self::LOW_FALL_WEIGHT
        } else {
            Self::LOW_RISE_WEIGHT
        };
        self.mean_micros += (micros - self.mean_micros) * Self::MEAN_WEIGHT;
        self.low_micros += (micros - self.low_micros) * weight;
    }

    /// Returns a service time that few requests fall below; zero before the first sample.
    pub(super) fn low_estimate(&self) -> Duration {
        Duration::from_secs_f64(self.low_micros / 1e6)
    }

    /// Returns the expected wait of a request behind `ahead` queued ones if all `slots` are in use.
    pub(super) fn expected_wait(&self, ahead: usize, slots: u32) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let turns = f64::from(ahead) + 1.0;
        Duration::from_secs_f64(self.mean_micros / 1e6 * turns / f64::from(slots.max(1)))
    }
}
