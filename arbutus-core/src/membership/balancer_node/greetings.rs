//! Balancers without a link: finding them again, and noticing that they died.

use std::{net::SocketAddrV4, time::Duration};

use rand::Rng;

use super::BalancerNode;
use crate::{
    membership::{LinkIntent, greeting::Greeting},
    roster::{AgentState, BalancerRecord, MemberKey},
    time::Timestamp,
};

impl BalancerNode {
    /// Configured peers that are greeted at once.
    const GREETINGS: usize = 3;
    /// Time between greetings of a balancer without links.
    const LONELY_RECONNECT: Duration = Duration::from_secs(1);

    /// Greets balancers that were lost or never linked to, to find each other again after a
    /// partition.
    pub(super) fn reconnect(&mut self, now: Timestamp) {
        if now < self.next_reconnect {
            return;
        }
        let is_lonely = self.overlay.links.is_empty();
        let pause = if is_lonely {
            Self::LONELY_RECONNECT
        } else {
            self.settings.reconnect_interval
        };
        let factor = self.rng.random_range(0.75..1.25);
        self.next_reconnect = now + pause.mul_f64(factor);
        if is_lonely {
            self.greet_peers(now);
        }
        self.greet_others(now);
    }

    fn greet_peers(&mut self, now: Timestamp) {
        let mut peers = self.peers.clone();
        for _ in 0..Self::GREETINGS.min(peers.len()) {
            let index = self.rng.random_range(0..peers.len());
            let peer = peers.swap_remove(index);
            self.greet(peer, now);
        }
    }

    /// Greets one balancer that was lost, one that is not known yet, and any one, so that none
    /// dies unnoticed.
    fn greet_others(&mut self, now: Timestamp) {
        let count = self.roster.balancers().count();
        let start = self.rng.random_range(0..count.max(1));
        let is_lost = |it: &&BalancerRecord| {
            it.state == AgentState::Suspect || self.roster.is_silent(&it.failure_domain)
        };
        let later = self.roster.balancers().skip(start);
        let lost = later
            .chain(self.roster.balancers().take(start))
            .find(is_lost)
            .map(|it| it.control);
        let other = self.roster.balancers().nth(start).map(|it| it.control);
        let unknown = self
            .peers
            .iter()
            .find(|peer| self.roster.balancer(**peer).is_none())
            .copied();
        for control in [lost, unknown, other].into_iter().flatten() {
            self.greet(control, now);
        }
    }

    fn greet(&mut self, control: SocketAddrV4, now: Timestamp) {
        let is_linked = self.overlay.links.contains_key(&control);
        if control != self.record.control && !is_linked {
            self.overlay.greeted.insert(control, Greeting::new(now));
            self.send_keepalive(control, LinkIntent::Probe);
        }
    }

    /// Repeats greetings that were not answered, and suspects who answers none.
    pub(super) fn scan_greetings(&mut self, now: Timestamp) {
        let limit = self.settings.balancer_suspect_timeout;
        let (mut again, mut lost) = (Vec::new(), Vec::new());
        self.overlay.greeted.retain(|control, greeting| {
            if now.since(greeting.begun) >= limit {
                lost.push(*control);
                return false;
            }
            if now.since(greeting.last) >= limit / 4 {
                greeting.last = now;
                again.push(*control);
            }
            true
        });
        for control in again {
            self.send_keepalive(control, LinkIntent::Probe);
        }
        for control in lost {
            self.suspect_balancer(control, now);
        }
    }

    pub(super) fn suspect_balancer(&mut self, control: SocketAddrV4, now: Timestamp) {
        let Some(record) = self.roster.balancer(control) else {
            return;
        };
        let domain = record.failure_domain.clone();
        if record.state.is_live() && !self.roster.is_silent(&domain) {
            self.suspected.insert(domain, now);
            self.suspect(&MemberKey::Balancer(control), now);
        }
    }
}
