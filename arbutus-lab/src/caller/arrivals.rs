use std::time::Duration;

use rand::Rng;
use tokio::time::{self, Instant};

/// A Poisson process of request times, which do not depend on the answers.
#[derive(Debug)]
pub(crate) struct Arrivals {
    mean_interval: Duration,
    due: Instant,
    end: Instant,
}

impl Arrivals {
    /// Starts a process that lasts for `duration`, with a mean interval of `mean_interval` between
    /// requests.
    pub(crate) fn begin(mean_interval: Duration, duration: Duration) -> Self {
        let now = Instant::now();
        Self {
            mean_interval,
            due: now,
            end: now + duration,
        }
    }

    /// Waits until the next request is due; returns `false` if the process has ended.
    pub(crate) async fn next(&mut self, rng: &mut impl Rng) -> bool {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        self.due += self.mean_interval.mul_f64(-uniform.ln());
        if self.due >= self.end {
            return false;
        }
        time::sleep_until(self.due).await;
        true
    }
}
