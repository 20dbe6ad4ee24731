use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::StoreRead;
use crate::{config::ConfigVersion, time::Timestamp};

/// Decides when a node reads the platform's store, one read at a time.
#[derive(Debug)]
pub struct StoreSchedule {
    next_read: Timestamp,
    /// When the read was begun that is not answered yet.
    waiting_since: Option<Timestamp>,
    /// Whether a watch is meant by `next_read`.
    was_reader: bool,
    /// Time to the next try after a failure; grows up to [`Self::RETRY_MAX`].
    retry: Duration,
}

impl StoreSchedule {
    /// The shortest time between two reads.
    const PACE: Duration = Duration::from_millis(500);
    const RETRY_MIN: Duration = Duration::from_millis(500);
    const RETRY_MAX: Duration = Duration::from_secs(10);
    /// Time after which a read counts as lost.
    const ANSWER_TIMEOUT: Duration = Duration::from_secs(120);

    /// Makes a schedule whose first read is due after `poll_interval`, or as soon as the node
    /// becomes a reader.
    pub fn new(poll_interval: Duration, now: Timestamp, rng: &mut ChaCha8Rng) -> Self {
        Self {
            next_read: now + jitter(poll_interval / 2, poll_interval * 3 / 2, rng),
            waiting_since: None,
            was_reader: false,
            retry: Self::RETRY_MIN,
        }
    }

    /// The read that is due, if any.
    pub fn poll(
        &mut self,
        is_reader: bool,
        version: ConfigVersion,
        now: Timestamp,
    ) -> Option<StoreRead> {
        if is_reader && !self.was_reader && self.retry == Self::RETRY_MIN {
            self.next_read = self.next_read.min(now + Self::PACE);
        }
        self.was_reader = is_reader;
        let lost = |since: Timestamp| now.since(since) > Self::ANSWER_TIMEOUT;
        if self.waiting_since.is_some_and(|since| !lost(since)) || now < self.next_read {
            return None;
        }
        self.waiting_since = Some(now);
        if is_reader {
            Some(StoreRead::Watch(version))
        } else {
            Some(StoreRead::Poll(version))
        }
    }

    /// Notes that the store answered.
    pub fn on_answer(&mut self, poll_interval: Duration, now: Timestamp, rng: &mut ChaCha8Rng) {
        self.waiting_since = None;
        self.retry = Self::RETRY_MIN;
        self.next_read = if self.was_reader {
            now + jitter(Self::PACE / 5, Self::PACE, rng)
        } else {
            now + jitter(poll_interval / 2, poll_interval * 3 / 2, rng)
        };
    }

    /// Notes that the store failed; a node that holds no watch does not hurry.
    pub fn on_failure(&mut self, poll_interval: Duration, now: Timestamp, rng: &mut ChaCha8Rng) {
        self.waiting_since = None;
        self.retry = (self.retry * 2).min(Self::RETRY_MAX);
        self.next_read = if self.was_reader {
            now + jitter(self.retry / 2, self.retry * 3 / 2, rng)
        } else {
            now + jitter(poll_interval / 2, poll_interval * 3 / 2, rng)
        };
    }
}

fn jitter(low: Duration, high: Duration, rng: &mut ChaCha8Rng) -> Duration {
    let micros = |it: Duration| u64::try_from(it.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(rng.random_range(micros(low)..=micros(high)))
}
