//! Delivery between machines, with loss, delay, duplicates and cuts.

use std::{collections::BTreeSet, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// What the network does to messages.
#[derive(Debug, Default)]
pub struct Network {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    /// Longest delay added to the usual one, in milliseconds.
    pub jitter_ms: u64,
    /// Pairs of failure domains that do not reach each other; both orders are in.
    cuts: BTreeSet<(String, String)>,
}

impl Network {
    const NEAR_MS: u64 = 1;
    const FAR_MS: u64 = 5;

    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.to_owned(), b.to_owned()));
        self.cuts.insert((b.to_owned(), a.to_owned()));
    }

    pub fn heal(&mut self) {
        *self = Self::default();
    }

    pub fn is_calm(&self) -> bool {
        self.loss_percent == 0 && self.jitter_ms == 0 && self.cuts.is_empty()
    }

    /// When copies of a message arrive; none where it is lost.
    pub fn delays(&self, from: &str, to: &str, rng: &mut ChaCha8Rng) -> Vec<Duration> {
        if self.cuts.contains(&(from.to_owned(), to.to_owned())) {
            return Vec::new();
        }
        let copies = 1 + u32::from(rng.random_range(0..100) < self.duplicate_percent);
        let base = if from == to {
            Self::NEAR_MS
        } else {
            Self::FAR_MS
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
