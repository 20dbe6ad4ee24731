use std::{net::SocketAddrV4, sync::Arc};

use indexmap::IndexMap;

use super::{HomeOffer, Settings};
use crate::{
    roster::{Roster, rendezvous},
    time::Timestamp,
};

/// The running balancers by failure domain, to tell who is responsible for what.
///
/// It is made from a roster and stays as it is until it is made again.
#[derive(Debug, Default)]
pub(super) struct HomeList {
    domains: IndexMap<Arc<str>, Vec<SocketAddrV4>>,
    pub made_at: Timestamp,
}

impl HomeList {
    /// Balancers offered for when others fail.
    const SPARES: usize = 2;

    pub fn new(roster: &Roster, now: Timestamp) -> Self {
        let mut domains: IndexMap<Arc<str>, Vec<SocketAddrV4>> = IndexMap::new();
        for balancer in roster.live_balancers() {
            let members = domains.entry(balancer.failure_domain.clone()).or_default();
            members.push(balancer.control);
        }
        Self {
            domains,
            made_at: now,
        }
    }

    pub fn len(&self) -> usize {
        self.domains.values().map(Vec::len).sum()
    }

    /// The balancers of a failure domain.
    pub fn near(&self, failure_domain: &str) -> &[SocketAddrV4] {
        self.domains.get(failure_domain).map_or(&[], Vec::as_slice)
    }

    /// The balancers of all other failure domains.
    pub fn far(&self, failure_domain: &str) -> impl Iterator<Item = SocketAddrV4> {
        self.domains
            .iter()
            .filter(move |(domain, _)| &***domain != failure_domain)
            .flat_map(|(_, members)| members.iter().copied())
    }

    /// The balancers of an agent.
    pub fn homes(
        &self,
        tunnel: SocketAddrV4,
        failure_domain: &str,
        settings: &Settings,
    ) -> HomeOffer {
        let subject = rendezvous::address_number(tunnel);
        let near = self.near(failure_domain).iter().copied();
        let mut homes = best(subject, near, settings.local_homes + Self::SPARES);
        let mut spares = homes.split_off(homes.len().min(settings.local_homes));
        let far_wanted = settings.remote_homes + settings.local_homes - homes.len();
        let far = best(subject, self.far(failure_domain), far_wanted + Self::SPARES);
        homes.extend(far.iter().take(far_wanted));
        spares.extend(far.iter().skip(far_wanted));
        HomeOffer { homes, spares }
    }

    /// Whether `balancer`, of failure domain `domain`, is among the homes of an agent.
    pub fn is_home(
        &self,
        balancer: SocketAddrV4,
        domain: &str,
        tunnel: SocketAddrV4,
        failure_domain: &str,
        settings: &Settings,
    ) -> bool {
        let subject = rendezvous::address_number(tunnel);
        let near = self.near(failure_domain);
        let near_homes = near.len().min(settings.local_homes);
        if domain == failure_domain {
            let near = near.iter().copied();
            return is_among_best(subject, balancer, near, settings.local_homes);
        }
        let far_homes = settings.remote_homes + settings.local_homes - near_homes;
        is_among_best(subject, balancer, self.far(failure_domain), far_homes)
    }

    /// Whether `balancer`, of failure domain `domain`, is one of those that watch the store.
    pub fn is_reader(&self, balancer: SocketAddrV4, domain: &str, settings: &Settings) -> bool {
        let near = self.near(domain).iter().copied();
        is_among_best(0, balancer, near, settings.store_readers)
    }
}

fn weight(subject: u64, balancer: SocketAddrV4) -> u64 {
    rendezvous::score(subject, rendezvous::address_number(balancer))
}

/// The `count` best, the best first.
fn best(
    subject: u64,
    balancers: impl Iterator<Item = SocketAddrV4>,
    count: usize,
) -> Vec<SocketAddrV4> {
    let mut best: Vec<(u64, SocketAddrV4)> = Vec::with_capacity(count + 1);
    for balancer in balancers {
        let entry = (weight(subject, balancer), balancer);
        if best.len() == count && best.last().is_none_or(|last| entry < *last) {
            continue;
        }
        let place = best.partition_point(|it| *it > entry);
        best.insert(place, entry);
        best.truncate(count);
    }
    best.into_iter().map(|(_, balancer)| balancer).collect()
}

fn is_among_best(
    subject: u64,
    balancer: SocketAddrV4,
    mut balancers: impl Iterator<Item = SocketAddrV4>,
    count: usize,
) -> bool {
    let own = (weight(subject, balancer), balancer);
    let mut better = 0;
    let beaten = balancers.any(|it| {
        better += usize::from((weight(subject, it), it) > own);
        better >= count
    });
    !beaten && count > 0
}
