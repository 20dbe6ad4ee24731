use std::{net::SocketAddrV4, time::Duration};

use crate::time::Timestamp;

/// A balancer's queries to the seeds for the agents that the store does not list.
///
/// The seeds are the balancers that such agents introduce themselves to. Any other balancer learns
/// of them from a seed, so an agent that may own a flow is known to a seed.
#[derive(Debug, Default)]
pub(super) struct SeedQueries {
    /// The seeds other than this balancer.
    seeds: Vec<Seed>,
    /// Whether this balancer is a seed itself.
    is_seed: bool,
    last_number: u32,
    last_round_at: Option<Timestamp>,
    round: Option<Round>,
    /// When the last round began that has ended with a result.
    known_at: Option<Timestamp>,
}

#[derive(Debug)]
struct Seed {
    address: SocketAddrV4,
    /// Whether the seed left every query of an earlier round unanswered. It is queried all the same,
    /// but no round waits for it.
    silent: bool,
}

/// Queries to all seeds.
#[derive(Debug)]
struct Round {
    number: u32,
    started_at: Timestamp,
    sent_at: Timestamp,
    /// How often the queries were sent.
    attempts: u32,
    /// The seeds that the round waits for.
    missing: Vec<SocketAddrV4>,
    answered: bool,
}

impl SeedQueries {
    /// The minimum time between the starts of two rounds. One round serves all lookups that wait for
    /// it.
    const ROUND_INTERVAL: Duration = Duration::from_millis(200);

    /// How long an answer may be outstanding before the query is sent again. It covers the way
    /// between two failure domains and the answer of a busy process.
    const RETRY_INTERVAL: Duration = Duration::from_millis(150);

    /// How often a query is sent until its seed counts as silent.
    const MAX_ATTEMPTS: u32 = 3;

    /// Replaces the seeds. `own` is the address of this balancer, which may be one of them.
    pub(super) fn set_seeds(&mut self, own: SocketAddrV4, seeds: &[SocketAddrV4]) {
        self.is_seed = seeds.contains(&own);
        let others = seeds.iter().filter(|it| **it != own);
        self.seeds = others
            .map(|address| Seed {
                address: *address,
                silent: false,
            })
            .collect();
        self.round = None;
    }

    /// Returns whether agents that the store does not list introduce themselves to this balancer.
    pub(super) const fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Returns whether every agent is known that a seed knew at `at`.
    pub(super) fn is_known_for(&self, at: Timestamp) -> bool {
        self.seeds.is_empty() || self.known_at >= Some(at)
    }

    /// Returns the number of the queries to send now, and the seeds that get them. `wanted` tells
    /// whether a lookup waits for the answers.
    pub(super) fn take_due(
        &mut self,
        wanted: bool,
        now: Timestamp,
    ) -> Option<(u32, Vec<SocketAddrV4>)> {
        if self.round.is_none() {
            return self.start_round(wanted, now);
        }
        let round = self.round.as_mut()?;
        if now.since(round.sent_at) < Self::RETRY_INTERVAL {
            return None;
        }
        if round.attempts < Self::MAX_ATTEMPTS {
            round.attempts += 1;
            round.sent_at = now;
            return Some((round.number, round.missing.clone()));
        }
        self.give_missing_up();
        None
    }

    fn start_round(&mut self, wanted: bool, now: Timestamp) -> Option<(u32, Vec<SocketAddrV4>)> {
        let paused = self
            .last_round_at
            .is_some_and(|at| now.since(at) < Self::ROUND_INTERVAL);
        if !wanted || paused || self.seeds.is_empty() {
            return None;
        }
        self.last_number = self.last_number.wrapping_add(1);
        self.last_round_at = Some(now);
        let addresses: Vec<_> = self.seeds.iter().map(|it| it.address).collect();
        let responsive = self.seeds.iter().filter(|it| !it.silent);
        let mut missing: Vec<_> = responsive.map(|it| it.address).collect();
        if missing.is_empty() {
            missing.clone_from(&addresses);
        }
        self.round = Some(Round {
            number: self.last_number,
            started_at: now,
            sent_at: now,
            attempts: 1,
            missing,
            answered: false,
        });
        Some((self.last_number, addresses))
    }

    /// Records the answer of a seed. `all` tells whether it contains every agent that the seed
    /// knows and the store does not list.
    pub(super) fn on_answer(&mut self, seed: SocketAddrV4, number: u32, all: bool) {
        let Some(known) = self.seeds.iter_mut().find(|it| it.address == seed) else {
            return;
        };
        known.silent = false;
        let Some(round) = self.round.as_mut().filter(|it| it.number == number) else {
            return;
        };
        if !all {
            self.round = None;
            return;
        }
        round.answered = true;
        round.missing.retain(|it| *it != seed);
        if round.missing.is_empty() {
            self.known_at = Some(round.started_at);
            self.round = None;
        }
    }

    /// Ends the round without the answers that are missing.
    ///
    /// A seed that has stopped knows nothing, and agents introduce themselves to the others too. If
    /// no seed has answered, the result is that of this balancer alone, if it is one.
    fn give_missing_up(&mut self) {
        let Some(round) = self.round.take() else {
            return;
        };
        for seed in &mut self.seeds {
            seed.silent |= round.missing.contains(&seed.address);
        }
        if round.answered || self.is_seed {
            self.known_at = Some(round.started_at);
        }
    }
}
