use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Behaviour, BehaviourCommand, RunOutcome, RunRecord, ServiceTime};

/// Factor on the service time while the behaviour is `Slow` or `Lying`.
const SLOW_FACTOR: u32 = 4;
/// Factor on the service time while the behaviour is `Cold`.
const COLD_FACTOR: u32 = 10;

/// The journal and the behaviour of a backend server, without sockets or a clock.
///
/// Times are microseconds since the Unix epoch.
#[derive(Debug)]
pub struct BackendState {
    behaviour: Behaviour,
    /// When the behaviour ends; `None` if it lasts until the next command.
    until_us: Option<u64>,
    service_time: ServiceTime,
    rng: ChaCha8Rng,
    journal: Vec<RunRecord>,
}

impl BackendState {
    /// Creates the state of a backend server with normal behaviour and an empty journal.
    #[must_use]
    pub fn new(service_time: ServiceTime, seed: u64) -> Self {
        Self {
            behaviour: Behaviour::Normal,
            until_us: None,
            service_time,
            rng: ChaCha8Rng::seed_from_u64(seed),
            journal: Vec::new(),
        }
    }

    /// Applies a command that changes the behaviour.
    pub fn apply(&mut self, command: BehaviourCommand, now: u64) {
        self.behaviour = command.behaviour;
        self.until_us = command.for_ms.map(|ms| now + ms * 1_000);
    }

    /// Returns the current behaviour, which is normal again once a temporary one has ended.
    pub fn behaviour(&mut self, now: u64) -> Behaviour {
        if self.until_us.is_some_and(|until| until <= now) {
            self.behaviour = Behaviour::Normal;
            self.until_us = None;
        }
        self.behaviour
    }

    /// Draws the time that the next request runs under the current behaviour.
    pub fn service_time(&mut self, now: u64) -> Duration {
        let time = self.service_time.draw(&mut self.rng);
        match self.behaviour(now) {
            Behaviour::Slow | Behaviour::Lying => time * SLOW_FACTOR,
            Behaviour::Cold => time * COLD_FACTOR,
            _ => time,
        }
    }

    /// Records a request that has arrived and returns the index of its record.
    pub fn record_arrival(&mut self, record: RunRecord) -> usize {
        self.journal.push(record);
        self.journal.len() - 1
    }

    /// Records that a request has begun to run.
    pub fn record_start(&mut self, index: usize, now: u64) {
        self.journal[index].started_us = Some(now);
    }

    /// Records how and when a request ended.
    pub fn record_end(&mut self, index: usize, outcome: RunOutcome, now: u64) {
        let record = &mut self.journal[index];
        record.ended_us = Some(now);
        record.outcome = outcome;
    }

    /// Returns the records of all requests so far, in order of arrival.
    #[must_use]
    pub fn journal(&self) -> &[RunRecord] {
        &self.journal
    }

    /// Returns the number of requests that have arrived and not ended.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let is_in_flight = |record: &&RunRecord| record.outcome == RunOutcome::InProgress;
        self.journal.iter().filter(is_in_flight).count()
    }
}
