use std::time::Duration;

use rand::Rng;
use tokio::time::{self, Instant};

/// Times at which requests come: random, and independent of the answers (a Poisson process).
#[derive(Debug)]
pub(crate) struct Arrivals {
    mean: Duration,
    due: Instant,
    end: Instant,
}

impl Arrivals {
    /// Begins now and goes on for `duration`, with `mean` between two requests on average.
    pub(crate) fn begin(mean: Duration, duration: Duration) -> Self {
        let start = Instant::now();
        Self {
            mean,
            due: start,
            end: start + duration,
        }
    }

    /// Waits for the next request; false where there is none any more.
    pub(crate) async fn next(&mut self, rng: &mut impl Rng) -> bool {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        self.due += self.mean.mul_f64(-uniform.ln());
        if self.due >= self.end {
            return false;
        }
        time::sleep_until(self.due).await;
        true
    }
}
