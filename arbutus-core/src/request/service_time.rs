use std::time::Duration;

/// Running estimates of how long a request holds its slot.
#[derive(Debug, Default)]
pub(super) struct ServiceTime {
    samples: u64,
    mean_micros: f64,
    /// Follows short times quickly and long ones slowly.
    quick_micros: f64,
}

impl ServiceTime {
    const MEAN_WEIGHT: f64 = 0.1;
    const QUICK_FALL_WEIGHT: f64 = 0.25;
    const QUICK_RISE_WEIGHT: f64 = 0.02;

    /// Takes in one finished request.
    pub(super) fn record(&mut self, held: Duration) {
        let micros = held.as_secs_f64() * 1e6;
        self.samples += 1;
        if self.samples == 1 {
            self.mean_micros = micros;
            self.quick_micros = micros;
            return;
        }
        let weight = if micros < self.quick_micros {
            Self::QUICK_FALL_WEIGHT
        } else {
            Self::QUICK_RISE_WEIGHT
        };
        self.mean_micros += (micros - self.mean_micros) * Self::MEAN_WEIGHT;
        self.quick_micros += (micros - self.quick_micros) * weight;
    }

    /// A time that few requests stay under; zero before the first request.
    pub(super) fn quick(&self) -> Duration {
        Duration::from_secs_f64(self.quick_micros / 1e6)
    }

    /// Expected wait of a request behind `ahead` queued ones, with `slots` busy.
    pub(super) fn wait(&self, ahead: usize, slots: u32) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let turns = f64::from(ahead) + 1.0;
        Duration::from_secs_f64(self.mean_micros / 1e6 * turns / f64::from(slots.max(1)))
    }
}
