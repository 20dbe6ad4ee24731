use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// How long a request runs once it has a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceTime {
    /// Always the same.
    Fixed(Duration),
    /// Exponentially distributed around a mean.
    Exponential(Duration),
}

impl ServiceTime {
    /// Draws one service time.
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
