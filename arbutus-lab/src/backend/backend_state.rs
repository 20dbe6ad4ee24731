use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Behaviour, BehaviourCommand, RunOutcome, RunRecord, ServiceTime};

const SLOW_FACTOR: u32 = 4;
const COLD_FACTOR: u32 = 10;

/// What a backend server has seen and how it behaves, without sockets or a clock.
#[derive(Debug)]
pub struct BackendState {
    behaviour: Behaviour,
    /// When the behaviour ends; never where absent.
    until_us: Option<u64>,
    service_time: ServiceTime,
    rng: ChaCha8Rng,
    journal: Vec<RunRecord>,
}

impl BackendState {
    /// Makes a backend server that behaves as it should.
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

    /// Obeys a command.
    pub fn apply(&mut self, command: BehaviourCommand, now: u64) {
        self.behaviour = command.behaviour;
        self.until_us = command.for_ms.map(|ms| now + ms * 1_000);
    }

    /// The behaviour in force.
    pub fn behaviour(&mut self, now: u64) -> Behaviour {
        if self.until_us.is_some_and(|until| until <= now) {
            self.behaviour = Behaviour::Normal;
            self.until_us = None;
        }
        self.behaviour
    }

    /// Draws how long the next request runs.
    pub fn service_time(&mut self, now: u64) -> Duration {
        let time = self.service_time.draw(&mut self.rng);
        match self.behaviour(now) {
            Behaviour::Slow | Behaviour::Lying => time * SLOW_FACTOR,
            Behaviour::Cold => time * COLD_FACTOR,
            _ => time,
        }
    }

    /// Writes down a request that has come; the result names its record.
    pub fn arrive(&mut self, record: RunRecord) -> usize {
        self.journal.push(record);
        self.journal.len() - 1
    }

    /// Writes down that a request runs.
    pub fn start(&mut self, index: usize, now: u64) {
        self.journal[index].started_us = Some(now);
    }

    /// Writes down how a request ended.
    pub fn end(&mut self, index: usize, fate: RunOutcome, now: u64) {
        let record = &mut self.journal[index];
        record.ended_us = Some(now);
        record.outcome = fate;
    }

    /// All requests so far, in the order in which they came.
    #[must_use]
    pub fn journal(&self) -> &[RunRecord] {
        &self.journal
    }

    /// Requests that have come and not ended.
    #[must_use]
    pub fn in_hand(&self) -> usize {
        let in_hand = |record: &&RunRecord| record.outcome == RunOutcome::InProgress;
        self.journal.iter().filter(in_hand).count()
    }
}
