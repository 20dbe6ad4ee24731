use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{FabricCommand, FabricCounts, LinkFaults};

/// Range of the extra delay by which later datagrams overtake a reordered one, in microseconds.
const REORDER_DELAY_US: std::ops::Range<u64> = 1_000..5_000;

/// One copy of a datagram to be delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delivery {
    /// The balancer that receives the copy.
    pub balancer: SocketAddrV4,
    /// The delay until the copy is sent.
    pub delay: Duration,
}

/// The delivery decisions of the fabric, without sockets or a clock.
///
/// Times are in microseconds.
#[derive(Debug)]
pub struct FabricState {
    /// The balancers over which datagrams are spread, each with the time at which it is removed.
    balancers: IndexMap<SocketAddrV4, Option<u64>>,
    /// The balancers that are cut off, each with the time at which the cut ends.
    cut_until: IndexMap<Ipv4Addr, u64>,
    faults: LinkFaults,
    faults_end_us: u64,
    rng: ChaCha8Rng,
    counts: FabricCounts,
}

impl FabricState {
    /// Creates the state of a fabric that spreads datagrams over `balancers`.
    #[must_use]
    pub fn new(balancers: &[SocketAddrV4], seed: u64) -> Self {
        Self {
            balancers: balancers.iter().map(|address| (*address, None)).collect(),
            cut_until: IndexMap::new(),
            faults: LinkFaults::none(),
            faults_end_us: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            counts: FabricCounts::default(),
        }
    }

    /// Applies a command.
    pub fn apply(&mut self, command: &FabricCommand, now: u64) {
        match command {
            FabricCommand::AddBalancer { address } => {
                self.balancers.insert(*address, None);
            }
            FabricCommand::RemoveBalancer { address, after_ms } => {
                if let Some(removed_at) = self.balancers.get_mut(address) {
                    *removed_at = Some(now + after_ms * 1_000);
                }
            }
            FabricCommand::Faults { faults, for_ms } => {
                self.faults = *faults;
                self.faults_end_us = now + for_ms * 1_000;
            }
            FabricCommand::Cut { addresses, for_ms } => {
                let until = now + for_ms * 1_000;
                self.cut_until
                    .extend(addresses.iter().map(|address| (*address, until)));
            }
        }
    }

    /// Decides how many copies of a caller's datagram are delivered, and chooses a random balancer
    /// for each copy.
    pub fn copies_to_balancers(&mut self, now: u64) -> Vec<Delivery> {
        self.counts.from_callers += 1;
        self.balancers
            .retain(|_, removed_at| removed_at.is_none_or(|removed_at| removed_at > now));
        if self.balancers.is_empty() {
            self.counts.no_balancer += 1;
            return Vec::new();
        }
        let mut deliveries = Vec::with_capacity(1);
        for delay in self.draw_copy_delays(now) {
            let choice = self.rng.random_range(0..self.balancers.len());
            let balancer = self
                .balancers
                .get_index(choice)
                .map(|(address, _)| *address);
            match balancer {
                Some(balancer) if self.is_reachable(balancer, now) => {
                    deliveries.push(Delivery { balancer, delay });
                }
                _ => self.counts.lost += 1,
            }
        }
        deliveries
    }

    /// Returns the delay of each copy of a datagram that `balancer` has sent to a caller.
    pub fn copies_to_caller(&mut self, balancer: SocketAddrV4, now: u64) -> Vec<Duration> {
        self.counts.from_balancers += 1;
        if self.is_reachable(balancer, now) {
            self.draw_copy_delays(now)
        } else {
            self.counts.lost += 1;
            Vec::new()
        }
    }

    /// Counts a datagram of a balancer that cannot be relayed.
    pub const fn count_unreadable(&mut self) {
        self.counts.unreadable += 1;
    }

    /// Returns the counters so far.
    #[must_use]
    pub const fn counts(&self) -> FabricCounts {
        self.counts
    }

    fn is_reachable(&self, balancer: SocketAddrV4, now: u64) -> bool {
        self.cut_until
            .get(balancer.ip())
            .is_none_or(|until| *until <= now)
    }

    /// Draws the faults of one datagram and returns the delay of each copy that is delivered.
    fn draw_copy_delays(&mut self, now: u64) -> Vec<Duration> {
        if self.faults_end_us <= now {
            return vec![Duration::ZERO];
        }
        if self.draw_chance(self.faults.loss_percent) {
            self.counts.lost += 1;
            return Vec::new();
        }
        let mut delays = vec![self.draw_delay()];
        if self.draw_chance(self.faults.duplicate_percent) {
            self.counts.duplicated += 1;
            delays.push(self.draw_delay());
        }
        delays
    }

    fn draw_delay(&mut self) -> Duration {
        let (from, to) = (self.faults.delay_from_us, self.faults.delay_to_us);
        let mut micros = self.rng.random_range(from..=to.max(from));
        if self.draw_chance(self.faults.reorder_percent) {
            micros += self.rng.random_range(REORDER_DELAY_US);
        }
        Duration::from_micros(micros)
    }

    fn draw_chance(&mut self, percent: f64) -> bool {
        percent > 0.0 && self.rng.random_range(0.0..100.0) < percent
    }
}
