use std::{net::SocketAddrV4, sync::Arc};

use indexmap::IndexMap;

use super::{HomeOffer, Settings};
use crate::{
    roster::{Roster, rendezvous},
    time::Timestamp,
};

/// The live balancers grouped by failure domain, from which responsibilities are assigned by
/// rendezvous hashing.
///
/// A snapshot of the roster, rebuilt when balancers or notices change.
#[derive(Debug, Default)]
pub(super) struct LiveBalancers {
    domains: IndexMap<Arc<str>, Vec<SocketAddrV4>>,
    pub built_at: Timestamp,
}

impl LiveBalancers {
    /// Number of spare homes offered to an agent for failover.
    const SPARE_HOMES: usize = 2;

    pub fn new(roster: &Roster, now: Timestamp) -> Self {
        let mut domains: IndexMap<Arc<str>, Vec<SocketAddrV4>> = IndexMap::new();
        for balancer in roster.live_balancers() {
            let members = domains.entry(balancer.failure_domain.clone()).or_default();
            members.push(balancer.control);
        }
        Self {
            domains,
            built_at: now,
        }
    }

    pub fn len(&self) -> usize {
        self.domains.values().map(Vec::len).sum()
    }

    /// Returns the live balancers of a failure domain.
    pub fn in_domain(&self, failure_domain: &str) -> &[SocketAddrV4] {
        self.domains.get(failure_domain).map_or(&[], Vec::as_slice)
    }

    /// Returns the live balancers of all other failure domains.
    pub fn outside_domain(&self, failure_domain: &str) -> impl Iterator<Item = SocketAddrV4> {
        self.domains
            .iter()
            .filter(move |(domain, _)| &***domain != failure_domain)
            .flat_map(|(_, members)| members.iter().copied())
    }

    /// Returns the homes and spare homes of an agent.
    pub fn homes(
        &self,
        tunnel: SocketAddrV4,
        failure_domain: &str,
        settings: &Settings,
    ) -> HomeOffer {
        let subject = rendezvous::address_number(tunnel);
        let local = self.in_domain(failure_domain).iter().copied();
        let mut homes = highest_scored(subject, local, settings.local_homes + Self::SPARE_HOMES);
        let mut spares = homes.split_off(homes.len().min(settings.local_homes));
        let remote_wanted = settings.remote_homes + settings.local_homes - homes.len();
        let remote = highest_scored(
            subject,
            self.outside_domain(failure_domain),
            remote_wanted + Self::SPARE_HOMES,
        );
        homes.extend(remote.iter().take(remote_wanted));
        spares.extend(remote.iter().skip(remote_wanted));
        HomeOffer { homes, spares }
    }

    /// Returns whether `balancer`, of failure domain `domain`, is among the homes of an agent.
    pub fn is_home(
        &self,
        balancer: SocketAddrV4,
        domain: &str,
        tunnel: SocketAddrV4,
        failure_domain: &str,
        settings: &Settings,
    ) -> bool {
        let subject = rendezvous::address_number(tunnel);
        let local = self.in_domain(failure_domain);
        let local_homes = local.len().min(settings.local_homes);
        if domain == failure_domain {
            let local = local.iter().copied();
            return is_among_highest(subject, balancer, local, settings.local_homes);
        }
        let remote_homes = settings.remote_homes + settings.local_homes - local_homes;
        is_among_highest(
            subject,
            balancer,
            self.outside_domain(failure_domain),
            remote_homes,
        )
    }

    /// Returns whether `balancer`, of failure domain `domain`, is one of its store readers.
    pub fn is_store_reader(
        &self,
        balancer: SocketAddrV4,
        domain: &str,
        settings: &Settings,
    ) -> bool {
        let local = self.in_domain(domain).iter().copied();
        is_among_highest(0, balancer, local, settings.store_readers)
    }
}

fn score(subject: u64, balancer: SocketAddrV4) -> u64 {
    rendezvous::score(subject, rendezvous::address_number(balancer))
}

/// Returns the `count` balancers with the highest scores, in descending order.
fn highest_scored(
    subject: u64,
    balancers: impl Iterator<Item = SocketAddrV4>,
    count: usize,
) -> Vec<SocketAddrV4> {
    let mut best: Vec<(u64, SocketAddrV4)> = Vec::with_capacity(count + 1);
    for balancer in balancers {
        let entry = (score(subject, balancer), balancer);
        if best.len() == count && best.last().is_none_or(|last| entry < *last) {
            continue;
        }
        let place = best.partition_point(|it| *it > entry);
        best.insert(place, entry);
        best.truncate(count);
    }
    best.into_iter().map(|(_, balancer)| balancer).collect()
}

/// Returns whether `balancer` is among the `count` of `balancers` with the highest scores.
fn is_among_highest(
    subject: u64,
    balancer: SocketAddrV4,
    mut balancers: impl Iterator<Item = SocketAddrV4>,
    count: usize,
) -> bool {
    let own = (score(subject, balancer), balancer);
    let mut higher = 0;
    let is_outscored = balancers.any(|it| {
        higher += usize::from((score(subject, it), it) > own);
        higher >= count
    });
    !is_outscored && count > 0
}
