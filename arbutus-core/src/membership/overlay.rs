use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use super::{link::Link, pending_probe::PendingProbe};
use crate::{roster::MemberKey, time::Timestamp};

/// The links of a balancer to a few others, over which all changes propagate.
#[derive(Debug, Default)]
pub(super) struct Overlay {
    /// By control address. Links opened by others are declined from `Settings::max_links` on.
    pub links: IndexMap<SocketAddrV4, Link>,
    /// Unanswered probes of balancers without a link.
    pub pending_probes: IndexMap<SocketAddrV4, PendingProbe>,
    /// Balancers that declined a link, each with the end of its backoff.
    declined: IndexMap<SocketAddrV4, Timestamp>,
}

impl Overlay {
    /// Time for which no link is opened to a balancer that declined one.
    const DECLINE_BACKOFF: Duration = Duration::from_secs(60);
    /// Limit on remembered declines; the oldest is evicted first.
    const MAX_DECLINED: usize = 64;

    pub fn get_mut(&mut self, control: SocketAddrV4) -> Option<&mut Link> {
        self.links.get_mut(&control)
    }

    /// Queues a record on all links except the one to `except`.
    pub fn enqueue(&mut self, key: &MemberKey, except: Option<SocketAddrV4>) {
        for link in self.links.values_mut() {
            if Some(link.control) != except {
                link.enqueue(key);
            }
        }
    }

    /// Removes a record from the queue of a balancer that already has the record.
    pub fn remove_pending(&mut self, control: SocketAddrV4, key: &MemberKey) {
        if let Some(link) = self.links.get_mut(&control) {
            link.pending.shift_remove(key);
        }
    }

    /// Restarts the timeouts of all links and drops pending probes.
    pub fn reset_timeouts(&mut self, now: Timestamp) {
        for link in self.links.values_mut() {
            link.last_received = now;
        }
        self.pending_probes.clear();
    }

    /// Drops the link and starts the backoff of a balancer that declined it.
    pub fn on_decline(&mut self, control: SocketAddrV4, now: Timestamp) {
        self.links.shift_remove(&control);
        if self.declined.len() >= Self::MAX_DECLINED {
            self.declined.shift_remove_index(0);
        }
        self.declined.insert(control, now + Self::DECLINE_BACKOFF);
    }

    /// Returns whether a link to this balancer may be opened.
    pub fn may_open(&self, control: SocketAddrV4, now: Timestamp) -> bool {
        let declined = self.declined.get(&control).is_some_and(|it| now < *it);
        !declined && !self.links.contains_key(&control)
    }
}
