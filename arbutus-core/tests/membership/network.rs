//! Message delivery between nodes, with loss, delay, duplicates and partitions.

use std::{collections::BTreeSet, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The faults that the network applies to messages.
#[derive(Debug, Default)]
pub struct Network {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    /// Maximum delay added to the base delay, in milliseconds.
    pub jitter_ms: u64,
    /// Pairs of failure domains cut off from each other, in both orders.
    cuts: BTreeSet<(String, String)>,
}

impl Network {
    const SAME_DOMAIN_DELAY_MS: u64 = 1;
    const CROSS_DOMAIN_DELAY_MS: u64 = 5;

    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.to_owned(), b.to_owned()));
        self.cuts.insert((b.to_owned(), a.to_owned()));
    }

    pub fn heal(&mut self) {
        *self = Self::default();
    }

    pub fn is_undisturbed(&self) -> bool {
        self.loss_percent == 0 && self.jitter_ms == 0 && self.cuts.is_empty()
    }

    /// Returns the delays of the copies of a message, or nothing if the message is lost.
    pub fn delays(&self, from: &str, to: &str, rng: &mut ChaCha8Rng) -> Vec<Duration> {
        if self.cuts.contains(&(from.to_owned(), to.to_owned())) {
            return Vec::new();
        }
        let copies = 1 + u32::from(rng.random_range(0..100) < self.duplicate_percent);
        let base = if from == to {
            Self::SAME_DOMAIN_DELAY_MS
        } else {
            Self::CROSS_DOMAIN_DELAY_MS
        };
        (0..copies)
            .filter_map(|_| {
                let lost = rng.random_range(0..100) < self.loss_percent;
                let extra = rng.random_range(0..=self.jitter_ms);
                (!lost).then(|| Duration::from_millis(base + extra))
            })
            .collect()
    }
}
