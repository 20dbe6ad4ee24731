use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use crate::time::Timestamp;

/// The balancers that an agent has packets from.
#[derive(Debug, Default)]
pub(super) struct BalancerLinks {
    links: IndexMap<SocketAddrV4, Link>,
}

#[derive(Debug, Clone, Copy)]
struct Link {
    heard_at: Timestamp,
    /// Whether a packet came after the last report.
    owed: bool,
}

impl BalancerLinks {
    /// Most balancers that are reported to; the longest known give way.
    const MAX_LINKS: usize = 4_096;

    /// Most reports at one time.
    const REPORTS: usize = 64;

    /// How long a balancer is told of changes after its last packet.
    const KEPT: Duration = Duration::from_secs(60);

    pub(super) fn note(&mut self, balancer: SocketAddrV4, now: Timestamp) {
        if self.links.len() >= Self::MAX_LINKS && !self.links.contains_key(&balancer) {
            self.links.swap_remove_index(0);
        }
        let link = Link {
            heard_at: now,
            owed: true,
        };
        self.links.insert(balancer, link);
    }

    /// Whether some balancer waits for a report.
    pub(super) fn any_owed(&self) -> bool {
        self.links.values().any(|it| it.owed)
    }

    /// The balancers that are to get a report now, a bounded number at a time.
    pub(super) fn take_owed(&mut self) -> Vec<SocketAddrV4> {
        let owed = self.links.iter_mut().filter(|(_, it)| it.owed);
        owed.take(Self::REPORTS)
            .map(|(balancer, link)| {
                link.owed = false;
                *balancer
            })
            .collect()
    }

    /// Every balancer that had packets lately is to get a report.
    pub(super) fn owe_all(&mut self, now: Timestamp) {
        self.links
            .retain(|_, it| now.since(it.heard_at) < Self::KEPT);
        for link in self.links.values_mut() {
            link.owed = true;
        }
    }

    /// The balancers, a bounded number of them.
    pub(super) fn some(&self) -> Vec<SocketAddrV4> {
        self.links.keys().copied().take(Self::REPORTS).collect()
    }
}
