use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{FabricCommand, FabricCounts, LinkFaults};

/// How far a datagram that is to be overtaken is held back, in microseconds.
const REORDER_HOLD_US: std::ops::Range<u64> = 1_000..5_000;

/// One copy of a datagram on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delivery {
    /// The balancer it passes.
    pub balancer: SocketAddrV4,
    /// How long it takes.
    pub delay: Duration,
}

/// The fabric's choices, without sockets or a clock; times are microseconds.
#[derive(Debug)]
pub struct FabricState {
    /// The balancers sprayed over, each with the time at which it leaves the set.
    balancers: IndexMap<SocketAddrV4, Option<u64>>,
    /// Balancers that nothing reaches, each with the time at which that ends.
    cut: IndexMap<Ipv4Addr, u64>,
    faults: LinkFaults,
    faults_until: u64,
    rng: ChaCha8Rng,
    counts: FabricCounts,
}

impl FabricState {
    /// Makes a fabric that sprays over `balancers`.
    #[must_use]
    pub fn new(balancers: &[SocketAddrV4], seed: u64) -> Self {
        Self {
            balancers: balancers.iter().map(|address| (*address, None)).collect(),
            cut: IndexMap::new(),
            faults: LinkFaults::none(),
            faults_until: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            counts: FabricCounts::default(),
        }
    }

    /// Obeys a command.
    pub fn apply(&mut self, command: &FabricCommand, now: u64) {
        match command {
            FabricCommand::AddBalancer { address } => {
                self.balancers.insert(*address, None);
            }
            FabricCommand::RemoveBalancer { address, after_ms } => {
                if let Some(leaves) = self.balancers.get_mut(address) {
                    *leaves = Some(now + after_ms * 1_000);
                }
            }
            FabricCommand::Faults { faults, for_ms } => {
                self.faults = *faults;
                self.faults_until = now + for_ms * 1_000;
            }
            FabricCommand::Cut { addresses, for_ms } => {
                let until = now + for_ms * 1_000;
                self.cut
                    .extend(addresses.iter().map(|address| (*address, until)));
            }
        }
    }

    /// Chooses the copies of a caller's datagram and the balancer of each.
    pub fn spray(&mut self, now: u64) -> Vec<Delivery> {
        self.counts.from_callers += 1;
        self.balancers
            .retain(|_, leaves| leaves.is_none_or(|at| at > now));
        if self.balancers.is_empty() {
            self.counts.no_balancer += 1;
            return Vec::new();
        }
        let mut deliveries = Vec::with_capacity(1);
        for delay in self.copies(now) {
            let choice = self.rng.random_range(0..self.balancers.len());
            let balancer = self
                .balancers
                .get_index(choice)
                .map(|(address, _)| *address);
            match balancer {
                Some(balancer) if self.reachable(balancer, now) => {
                    deliveries.push(Delivery { balancer, delay });
                }
                _ => self.counts.lost += 1,
            }
        }
        deliveries
    }

    /// Chooses the copies of a datagram that `balancer` sent back, each by its delay.
    pub fn returned(&mut self, balancer: SocketAddrV4, now: u64) -> Vec<Duration> {
        self.counts.from_balancers += 1;
        if self.reachable(balancer, now) {
            self.copies(now)
        } else {
            self.counts.lost += 1;
            Vec::new()
        }
    }

    /// Counts a datagram of a balancer that makes no sense.
    pub const fn count_unreadable(&mut self) {
        self.counts.unreadable += 1;
    }

    /// What has been done so far.
    #[must_use]
    pub const fn counts(&self) -> FabricCounts {
        self.counts
    }

    fn reachable(&self, balancer: SocketAddrV4, now: u64) -> bool {
        self.cut
            .get(balancer.ip())
            .is_none_or(|until| *until <= now)
    }

    fn copies(&mut self, now: u64) -> Vec<Duration> {
        if self.faults_until <= now {
            return vec![Duration::ZERO];
        }
        if self.chance(self.faults.loss_percent) {
            self.counts.lost += 1;
            return Vec::new();
        }
        let mut copies = vec![self.delay()];
        if self.chance(self.faults.duplicate_percent) {
            self.counts.duplicated += 1;
            copies.push(self.delay());
        }
        copies
    }

    fn delay(&mut self) -> Duration {
        let (from, to) = (self.faults.delay_from_us, self.faults.delay_to_us);
        let mut micros = self.rng.random_range(from..=to.max(from));
        if self.chance(self.faults.reorder_percent) {
            micros += self.rng.random_range(REORDER_HOLD_US);
        }
        Duration::from_micros(micros)
    }

    fn chance(&mut self, percent: f64) -> bool {
        percent > 0.0 && self.rng.random_range(0.0..100.0) < percent
    }
}
