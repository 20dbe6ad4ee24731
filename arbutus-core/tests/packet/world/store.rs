//! The store and the snapshots of other balancers.

use std::time::Duration;

use rand::Rng;

use super::{Event, SEEDS, World};

/// The maximum time until a balancer hears of a change of the store, in milliseconds. Changes that
/// follow one another reach it together.
const MAX_LISTING_DELAY_MS: u64 = 900;

impl World {
    pub(super) fn notify_listings(&mut self) {
        for index in 0..self.balancers.len() {
            let Some(generation) = self.balancers[index].as_ref().map(|it| it.generation) else {
                continue;
            };
            let delay = Duration::from_millis(self.rng.random_range(5..MAX_LISTING_DELAY_MS));
            self.schedule(delay, Event::Listings(index, generation));
        }
    }

    /// Has a balancer ask the store for its present state if a lookup waits for that.
    pub(super) fn check_store(&mut self, index: usize) {
        let now = self.now;
        let Some(balancer) = &mut self.balancers[index] else {
            return;
        };
        let due = balancer.steering.store_check_due();
        if due.is_some_and(|it| it <= now) && balancer.reaches_store {
            balancer.steering.on_store_check(now);
            let generation = balancer.generation;
            let delay = Duration::from_millis(self.rng.random_range(5..40));
            self.schedule(delay, Event::Listings(index, generation));
        }
    }

    pub(super) fn deliver_listings(&mut self, index: usize, generation: u64) {
        let now = self.now;
        let listings: Vec<_> = self
            .agents
            .iter()
            .filter(|it| it.listed_until.is_some_and(|until| until > now))
            .filter_map(|it| it.listing.clone())
            .collect();
        let Some(balancer) = self.balancers[index]
            .as_mut()
            .filter(|it| it.generation == generation)
        else {
            return;
        };
        if balancer.reaches_store {
            balancer.steering.on_full_listing(&listings, now);
            balancer.steering.on_store_synced(now, now);
        } else {
            self.schedule(
                Duration::from_millis(500),
                Event::Listings(index, generation),
            );
        }
    }

    /// Has a balancer that has started or lost the store read the snapshots of the first balancers.
    pub(super) fn poll_peers(&mut self, index: usize, generation: u64) {
        let now = self.now;
        let snapshots: Vec<_> = (0..self.balancers.len().min(SEEDS))
            .filter(|it| *it != index)
            .filter_map(|it| self.balancers[it].as_ref())
            .map(|it| it.steering.snapshot(now))
            .collect();
        let Some(balancer) = self.balancers[index]
            .as_mut()
            .filter(|it| it.generation == generation)
        else {
            return;
        };
        for snapshot in snapshots {
            if !balancer.steering.needs_peer_sync(now) {
                break;
            }
            balancer
                .steering
                .on_peer_agents(&snapshot.agents, snapshot.settled, now);
        }
        self.schedule(
            Duration::from_millis(250),
            Event::PollPeers(index, generation),
        );
    }
}
