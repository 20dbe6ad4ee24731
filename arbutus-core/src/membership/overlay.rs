use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use super::{greeting::Greeting, link::Link};
use crate::{roster::MemberKey, time::Timestamp};

/// The links of a balancer to a few others, over which everything spreads.
#[derive(Debug, Default)]
pub(super) struct Overlay {
    /// By control address; never above the limit of the settings by links opened by others.
    pub links: IndexMap<SocketAddrV4, Link>,
    /// Greetings of other balancers that are not answered yet.
    pub greeted: IndexMap<SocketAddrV4, Greeting>,
    /// Balancers that declined a link, and until when they are left alone.
    declined: IndexMap<SocketAddrV4, Timestamp>,
}

impl Overlay {
    /// How long a balancer that declined is left alone.
    const DECLINE_PAUSE: Duration = Duration::from_secs(60);
    /// Balancers remembered as having declined.
    const DECLINED: usize = 64;

    pub fn get_mut(&mut self, control: SocketAddrV4) -> Option<&mut Link> {
        self.links.get_mut(&control)
    }

    /// Sends a record over all links but that to `except`.
    pub fn enqueue(&mut self, key: &MemberKey, except: Option<SocketAddrV4>) {
        for link in self.links.values_mut() {
            if Some(link.control) != except {
                link.enqueue(key);
            }
        }
    }

    /// Notes that the balancer has the record.
    pub fn has(&mut self, control: SocketAddrV4, key: &MemberKey) {
        if let Some(link) = self.links.get_mut(&control) {
            link.pending.shift_remove(key);
        }
    }

    /// Counts the silence of all linked balancers from now on.
    pub fn restart(&mut self, now: Timestamp) {
        for link in self.links.values_mut() {
            link.last_heard = now;
        }
        self.greeted.clear();
    }

    pub fn on_decline(&mut self, control: SocketAddrV4, now: Timestamp) {
        self.links.shift_remove(&control);
        if self.declined.len() >= Self::DECLINED {
            self.declined.shift_remove_index(0);
        }
        self.declined.insert(control, now + Self::DECLINE_PAUSE);
    }

    /// Whether a link may be opened to this balancer.
    pub fn may_open(&self, control: SocketAddrV4, now: Timestamp) -> bool {
        let declined = self.declined.get(&control).is_some_and(|it| now < *it);
        !declined && !self.links.contains_key(&control)
    }
}
