use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::StoreRead;
use crate::{config::ConfigVersion, time::Timestamp};

/// Schedule of a node's reads of the platform's store, with one read in flight at a time.
#[derive(Debug)]
pub struct StoreSchedule {
    /// Earliest time of the next read.
    next_read: Timestamp,
    /// Start of the read in flight.
    read_started: Option<Timestamp>,
    /// Whether the node was a reader, which watches the store, at the last poll.
    was_reader: bool,
    /// Mean delay of a reader before the next read after a failure; doubles with each failure up
    /// to [`Self::MAX_RETRY_DELAY`].
    retry_delay: Duration,
}

impl StoreSchedule {
    /// Upper bound of the delay before the first watch of a new reader and between two watches.
    const MAX_WATCH_DELAY: Duration = Duration::from_millis(500);
    const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
    const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
    /// Time after which a read without an answer is treated as lost.
    const READ_TIMEOUT: Duration = Duration::from_secs(120);

    /// Creates a schedule whose first read is due after about `poll_interval`, or shortly after the
    /// node becomes a reader.
    pub fn new(poll_interval: Duration, now: Timestamp, rng: &mut ChaCha8Rng) -> Self {
        Self {
            next_read: now + jitter(poll_interval / 2, poll_interval * 3 / 2, rng),
            read_started: None,
            was_reader: false,
            retry_delay: Self::MIN_RETRY_DELAY,
        }
    }

    /// Returns the read that is due, if any.
    pub fn poll(
        &mut self,
        is_reader: bool,
        version: ConfigVersion,
        now: Timestamp,
    ) -> Option<StoreRead> {
        if is_reader && !self.was_reader && self.retry_delay == Self::MIN_RETRY_DELAY {
            self.next_read = self.next_read.min(now + Self::MAX_WATCH_DELAY);
        }
        self.was_reader = is_reader;
        let is_lost = |since: Timestamp| now.since(since) > Self::READ_TIMEOUT;
        if self.read_started.is_some_and(|since| !is_lost(since)) || now < self.next_read {
            return None;
        }
        self.read_started = Some(now);
        if is_reader {
            Some(StoreRead::Watch(version))
        } else {
            Some(StoreRead::Poll(version))
        }
    }

    /// Records an answer of the store and schedules the next read.
    pub fn on_answer(&mut self, poll_interval: Duration, now: Timestamp, rng: &mut ChaCha8Rng) {
        self.read_started = None;
        self.retry_delay = Self::MIN_RETRY_DELAY;
        self.next_read = if self.was_reader {
            now + jitter(Self::MAX_WATCH_DELAY / 5, Self::MAX_WATCH_DELAY, rng)
        } else {
            now + jitter(poll_interval / 2, poll_interval * 3 / 2, rng)
        };
    }

    /// Records a failure of the store and schedules the next read: a reader retries with backoff,
    /// another node waits for its regular poll.
    pub fn on_failure(&mut self, poll_interval: Duration, now: Timestamp, rng: &mut ChaCha8Rng) {
        self.read_started = None;
        self.retry_delay = (self.retry_delay * 2).min(Self::MAX_RETRY_DELAY);
        self.next_read = if self.was_reader {
            now + jitter(self.retry_delay / 2, self.retry_delay * 3 / 2, rng)
        } else {
            now + jitter(poll_interval / 2, poll_interval * 3 / 2, rng)
        };
    }
}

fn jitter(low: Duration, high: Duration, rng: &mut ChaCha8Rng) -> Duration {
    let micros = |it: Duration| u64::try_from(it.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(rng.random_range(micros(low)..=micros(high)))
}
