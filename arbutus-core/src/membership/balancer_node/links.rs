//! Links to other balancers: opening, keeping alive, losing and finding again.

use std::{net::SocketAddrV4, time::Duration};

use rand::Rng;

use super::BalancerNode;
use crate::{
    membership::{Keepalive, LinkIntent, Message, link::Link},
    roster::{BalancerRecord, Update},
    time::Timestamp,
};

impl BalancerNode {
    /// Tries to find a balancer to link to in a round.
    const OPEN_TRIES: usize = 4;

    pub(super) fn on_keepalive(
        &mut self,
        from: SocketAddrV4,
        keepalive: &Keepalive,
        now: Timestamp,
    ) {
        let domain = keepalive.record.failure_domain.clone();
        if keepalive.record.control != from {
            return;
        }
        self.overlay.greeted.swap_remove(&from);
        self.merge_peer(keepalive.record.clone(), now);
        if let Some(rank) = keepalive.receiver_rank {
            self.refute(rank, now);
        }
        self.on_domain_heard(&domain, now);
        match keepalive.intent {
            LinkIntent::Link => self.accept_link(from, &keepalive.record, now),
            LinkIntent::Probe => self.answer(from),
            LinkIntent::ProbeReply => self.on_answer(from),
            LinkIntent::Decline => self.overlay.on_decline(from, now),
        }
        self.compare_with(from, keepalive, now);
    }

    /// Takes a record that its author sent; where a higher one is held, the answer says so.
    fn merge_peer(&mut self, record: BalancerRecord, now: Timestamp) {
        if self.roster.balancer(record.control) != Some(&record) {
            self.merge(Update::Balancer { record, age_s: 0 }, None, now);
        }
    }

    fn accept_link(&mut self, from: SocketAddrV4, record: &BalancerRecord, now: Timestamp) {
        if let Some(link) = self.overlay.get_mut(from) {
            link.last_heard = now;
            return;
        }
        if self.overlay.links.len() >= self.settings.max_links {
            self.send_keepalive(from, LinkIntent::Decline);
            return;
        }
        let domain = record.failure_domain.clone();
        let link = Link::new(from, domain, false, now);
        self.overlay.links.insert(from, link);
        self.send_keepalive(from, LinkIntent::Link);
    }

    fn answer(&mut self, from: SocketAddrV4) {
        let intent = if self.overlay.links.contains_key(&from) {
            LinkIntent::Link
        } else {
            LinkIntent::ProbeReply
        };
        self.send_keepalive(from, intent);
    }

    /// The other balancer does not hold the link, if there was one.
    fn on_answer(&mut self, from: SocketAddrV4) {
        let was_opened = self.overlay.links.get(&from).map(|link| link.is_opened);
        match was_opened {
            Some(true) => self.send_keepalive(from, LinkIntent::Link),
            Some(false) => {
                self.overlay.links.shift_remove(&from);
            }
            None => {}
        }
    }

    /// Notes where the other balancer differs.
    fn compare_with(&mut self, from: SocketAddrV4, keepalive: &Keepalive, now: Timestamp) {
        let equal = keepalive.roster_digest == self.roster.root_digest();
        self.is_joining &= !equal;
        let Some(link) = self.overlay.get_mut(from) else {
            if !equal && keepalive.intent == LinkIntent::ProbeReply {
                self.repair_with(from, now);
            }
            return;
        };
        link.last_heard = now;
        link.mismatches = if equal { 0 } else { link.mismatches + 1 };
        link.config_version = Some(keepalive.config_version);
    }

    pub(super) fn on_link_unreachable(&mut self, peer: SocketAddrV4, now: Timestamp) {
        let patience = self.settings.balancer_suspect_timeout / 2;
        let Some(link) = self.overlay.get_mut(peer) else {
            return;
        };
        let silent_from = now.as_micros().saturating_sub(micros(patience));
        let silent_from = Timestamp::from_micros(silent_from);
        link.last_heard = link.last_heard.min(silent_from);
    }

    /// Greets silent balancers once more and suspects those that stay silent.
    pub(super) fn scan_links(&mut self, now: Timestamp) {
        let suspect_after = self.settings.balancer_suspect_timeout;
        let (mut quiet, mut lost) = (Vec::new(), Vec::new());
        for link in self.overlay.links.values_mut() {
            let silence = now.since(link.last_heard);
            if silence >= suspect_after {
                lost.push(link.control);
            } else if silence >= suspect_after / 2
                && now.since(link.last_greeting) >= suspect_after / 6
            {
                link.last_greeting = now;
                quiet.push(link.control);
            }
        }
        for control in quiet {
            self.send_keepalive(control, LinkIntent::Probe);
        }
        for control in lost {
            self.overlay.links.shift_remove(&control);
            self.suspect_balancer(control, now);
        }
    }

    /// Opens links where there are too few, and closes one where there are too many.
    pub(super) fn open_links(&mut self, now: Timestamp) {
        let own = self.record.failure_domain.clone();
        let near_known = self.homes.near(&own).len().saturating_sub(1);
        let far_known = self.homes.far(&own).count();
        let (near, far) = self.link_goal(near_known, far_known);
        let is_near = |link: &&Link| link.is_opened && link.failure_domain == own;
        let opened = self
            .overlay
            .links
            .values()
            .filter(|it| it.is_opened)
            .count();
        let opened_near = self.overlay.links.values().filter(is_near).count();
        let opened_far = opened - opened_near;
        for _ in opened_near..near {
            self.open_link(now, true);
        }
        for _ in opened_far..far {
            self.open_link(now, false);
        }
        if opened_far > far && opened_near >= near {
            self.close_far_link();
        }
    }

    /// How many links to open within the failure domain and to others.
    fn link_goal(&self, near_known: usize, far_known: usize) -> (usize, usize) {
        let near = self.settings.local_links.min(near_known);
        let lacking = self.settings.local_links - near;
        let far = (self.settings.remote_links + lacking).min(far_known);
        (near, far)
    }

    fn open_link(&mut self, now: Timestamp, is_near: bool) {
        for _ in 0..Self::OPEN_TRIES {
            let Some(control) = self.pick_balancer(is_near) else {
                return;
            };
            if control == self.record.control || !self.overlay.may_open(control, now) {
                continue;
            }
            let Some(record) = self.roster.balancer(control) else {
                continue;
            };
            if !record.state.is_live() {
                continue;
            }
            let link = Link::new(control, record.failure_domain.clone(), true, now);
            self.overlay.links.insert(control, link);
            return;
        }
    }

    fn pick_balancer(&mut self, is_near: bool) -> Option<SocketAddrV4> {
        let own = &self.record.failure_domain;
        if is_near {
            let near = self.homes.near(own);
            let index = self.rng.random_range(0..near.len().max(1));
            return near.get(index).copied();
        }
        let far = self.homes.len() - self.homes.near(own).len();
        let index = self.rng.random_range(0..far.max(1));
        self.homes.far(own).nth(index)
    }

    fn close_far_link(&mut self) {
        let own = &self.record.failure_domain;
        let far = self
            .overlay
            .links
            .values()
            .find(|link| link.is_opened && link.failure_domain != *own)
            .map(|link| link.control);
        if let Some(control) = far {
            self.overlay.links.shift_remove(&control);
            self.send_keepalive(control, LinkIntent::Decline);
        }
    }

    pub(super) fn send_keepalives(&mut self, now: Timestamp) {
        let due: Vec<SocketAddrV4> = self
            .overlay
            .links
            .values()
            .filter(|link| now.since(link.last_sent) >= self.settings.keepalive_interval)
            .map(|link| link.control)
            .collect();
        for control in due {
            self.send_keepalive(control, LinkIntent::Link);
            if let Some(link) = self.overlay.get_mut(control) {
                link.last_sent = now;
            }
        }
    }

    pub(super) fn send_keepalive(&mut self, to: SocketAddrV4, intent: LinkIntent) {
        let receiver_rank = self
            .roster
            .balancer(to)
            .map(BalancerRecord::rank)
            .filter(|rank| !rank.state.is_live());
        let keepalive = Keepalive {
            record: self.record.clone(),
            intent,
            roster_digest: self.roster.root_digest(),
            config_version: self.book.version(),
            receiver_rank,
        };
        self.send(to, &Message::Keepalive(keepalive));
    }
}

fn micros(it: Duration) -> u64 {
    u64::try_from(it.as_micros()).unwrap_or(u64::MAX)
}
