use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use super::eviction;
use crate::time::Timestamp;

/// The balancers that have sent packets to an agent.
#[derive(Debug, Default)]
pub(super) struct BalancerLinks {
    links: IndexMap<SocketAddrV4, Link>,
}

#[derive(Debug, Clone, Copy)]
struct Link {
    last_received_at: Timestamp,
    /// Whether the balancer gets a report in the next round.
    report_pending: bool,
}

impl BalancerLinks {
    /// The maximum number of balancers. Beyond it the oldest entries are removed.
    const MAX_LINKS: usize = 4_096;

    /// The maximum number of reports in one round.
    const MAX_REPORTS: usize = 64;

    /// How long after its last packet a balancer still gets reports of changes.
    const LINK_TTL: Duration = Duration::from_secs(60);

    /// Records a packet of `balancer`, which gets a report in the next round.
    pub(super) fn on_packet(&mut self, balancer: SocketAddrV4, now: Timestamp) {
        if self.links.len() >= Self::MAX_LINKS && !self.links.contains_key(&balancer) {
            eviction::evict_oldest(&mut self.links);
        }
        let link = Link {
            last_received_at: now,
            report_pending: true,
        };
        self.links.insert(balancer, link);
    }

    /// Returns whether a report to some balancer is pending.
    pub(super) fn has_pending(&self) -> bool {
        self.links.values().any(|it| it.report_pending)
    }

    /// Returns the balancers that get a report in this round, at most
    /// [`BalancerLinks::MAX_REPORTS`].
    pub(super) fn take_pending(&mut self) -> Vec<SocketAddrV4> {
        let pending = self.links.iter_mut().filter(|(_, it)| it.report_pending);
        pending
            .take(Self::MAX_REPORTS)
            .map(|(balancer, link)| {
                link.report_pending = false;
                *balancer
            })
            .collect()
    }

    /// Marks a report to every recently active balancer as pending.
    pub(super) fn mark_all_pending(&mut self, now: Timestamp) {
        self.links
            .retain(|_, it| now.since(it.last_received_at) < Self::LINK_TTL);
        for link in self.links.values_mut() {
            link.report_pending = true;
        }
    }

    /// Returns at most [`BalancerLinks::MAX_REPORTS`] balancers.
    pub(super) fn addresses(&self) -> Vec<SocketAddrV4> {
        self.links.keys().copied().take(Self::MAX_REPORTS).collect()
    }
}
