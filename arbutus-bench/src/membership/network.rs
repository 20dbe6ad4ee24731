use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::fleet_plan;

/// Simulated network with delays and losses between failure domains.
#[derive(Debug)]
pub(super) struct Network {
    /// Messages lost between failure domains, per mille.
    pub loss_per_mille: u32,
    /// The region that is partitioned from the others, if any.
    pub partitioned_region: Option<usize>,
}

impl Network {
    /// Returns the delay of a message between two failure domains, or `None` if the message is lost.
    pub fn delay(&self, from: usize, to: usize, rng: &mut ChaCha8Rng) -> Option<Duration> {
        if from == to {
            return Some(Duration::from_micros(rng.random_range(200..600)));
        }
        let (from, to) = (fleet_plan::region(from), fleet_plan::region(to));
        let is_cut = from != to
            && self
                .partitioned_region
                .is_some_and(|it| (from == it) != (to == it));
        if is_cut || rng.random_range(0..1_000) < self.loss_per_mille {
            return None;
        }
        let millis = if from == to { 4..8 } else { 20..40 };
        Some(Duration::from_micros(
            rng.random_range(millis.start * 1_000..millis.end * 1_000),
        ))
    }
}
