use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The distribution of the time that a request runs once it has a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceTime {
    /// Every request runs for this time.
    Fixed(Duration),
    /// Exponentially distributed, with this mean.
    Exponential(Duration),
}

impl ServiceTime {
    /// Draws the service time of one request.
    pub fn draw(self, rng: &mut ChaCha8Rng) -> Duration {
        match self {
            Self::Fixed(time) => time,
            Self::Exponential(mean) => {
                let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
                mean.mul_f64(-uniform.ln())
            }
        }
    }
}
