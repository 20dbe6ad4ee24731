//! Links to other balancers: opening, keepalives, timeouts and closing.

use std::{net::SocketAddrV4, time::Duration};

use rand::Rng;

use super::BalancerNode;
use crate::{
    membership::{Keepalive, LinkIntent, Message, link::Link},
    roster::{BalancerRecord, Update},
    time::Timestamp,
};

impl BalancerNode {
    /// Attempts per round to find a balancer for a new link.
    const MAX_OPEN_ATTEMPTS: usize = 4;

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
        self.overlay.pending_probes.swap_remove(&from);
        self.merge_peer(keepalive.record.clone(), now);
        if let Some(rank) = keepalive.receiver_rank {
            self.refute(rank, now);
        }
        self.on_domain_activity(&domain, now);
        match keepalive.intent {
            LinkIntent::Link => self.accept_link(from, &keepalive.record, now),
            LinkIntent::Probe => self.reply_to_probe(from),
            LinkIntent::ProbeReply => self.on_probe_reply(from),
            LinkIntent::Decline => self.overlay.on_decline(from, now),
        }
        self.compare_digests(from, keepalive, now);
    }

    /// Merges a record sent by the balancer it describes.
    ///
    /// If the roster holds a higher rank, the next keepalive to that balancer carries the rank in
    /// `receiver_rank`.
    fn merge_peer(&mut self, record: BalancerRecord, now: Timestamp) {
        if self.roster.balancer(record.control) != Some(&record) {
            self.merge(Update::Balancer { record, age_s: 0 }, None, now);
        }
    }

    fn accept_link(&mut self, from: SocketAddrV4, record: &BalancerRecord, now: Timestamp) {
        if let Some(link) = self.overlay.get_mut(from) {
            link.last_received = now;
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

    fn reply_to_probe(&mut self, from: SocketAddrV4) {
        let intent = if self.overlay.links.contains_key(&from) {
            LinkIntent::Link
        } else {
            LinkIntent::ProbeReply
        };
        self.send_keepalive(from, intent);
    }

    /// Handles a probe reply, which means that the other balancer does not hold the link.
    fn on_probe_reply(&mut self, from: SocketAddrV4) {
        let is_outbound = self.overlay.links.get(&from).map(|link| link.is_outbound);
        match is_outbound {
            Some(true) => self.send_keepalive(from, LinkIntent::Link),
            Some(false) => {
                self.overlay.links.shift_remove(&from);
            }
            None => {}
        }
    }

    /// Compares the other balancer's roster digest and configuration version with this one's.
    fn compare_digests(&mut self, from: SocketAddrV4, keepalive: &Keepalive, now: Timestamp) {
        let equal = keepalive.roster_digest == self.roster.root_digest();
        self.is_joining &= !equal;
        let Some(link) = self.overlay.get_mut(from) else {
            if !equal && keepalive.intent == LinkIntent::ProbeReply {
                self.repair_with(from, now);
            }
            return;
        };
        link.last_received = now;
        link.mismatches = if equal { 0 } else { link.mismatches + 1 };
        link.config_version = Some(keepalive.config_version);
    }

    /// Makes a probe due for a linked balancer to which the transport lost the connection.
    pub(super) fn on_link_unreachable(&mut self, peer: SocketAddrV4, now: Timestamp) {
        let probe_after = self.settings.balancer_suspect_timeout / 2;
        let Some(link) = self.overlay.get_mut(peer) else {
            return;
        };
        let silent_from = now.as_micros().saturating_sub(micros(probe_after));
        let silent_from = Timestamp::from_micros(silent_from);
        link.last_received = link.last_received.min(silent_from);
    }

    /// Probes balancers that have been silent for a while and suspects those that do not answer.
    pub(super) fn scan_links(&mut self, now: Timestamp) {
        let suspect_after = self.settings.balancer_suspect_timeout;
        let (mut silent, mut lost) = (Vec::new(), Vec::new());
        for link in self.overlay.links.values_mut() {
            let silence = now.since(link.last_received);
            if silence >= suspect_after {
                lost.push(link.control);
            } else if silence >= suspect_after / 2
                && now.since(link.last_probe) >= suspect_after / 6
            {
                link.last_probe = now;
                silent.push(link.control);
            }
        }
        for control in silent {
            self.send_keepalive(control, LinkIntent::Probe);
        }
        for control in lost {
            self.overlay.links.shift_remove(&control);
            self.suspect_balancer(control, now);
        }
    }

    /// Opens missing links, and closes a surplus link to another failure domain.
    pub(super) fn open_links(&mut self, now: Timestamp) {
        let own = self.record.failure_domain.clone();
        let known_local = self.live_balancers.in_domain(&own).len().saturating_sub(1);
        let known_remote = self.live_balancers.outside_domain(&own).count();
        let (local, remote) = self.link_targets(known_local, known_remote);
        let is_local = |link: &&Link| link.is_outbound && link.failure_domain == own;
        let opened = self
            .overlay
            .links
            .values()
            .filter(|it| it.is_outbound)
            .count();
        let opened_local = self.overlay.links.values().filter(is_local).count();
        let opened_remote = opened - opened_local;
        for _ in opened_local..local {
            self.open_link(now, true);
        }
        for _ in opened_remote..remote {
            self.open_link(now, false);
        }
        if opened_remote > remote && opened_local >= local {
            self.close_remote_link();
        }
    }

    /// Returns how many links to open within the failure domain and to others.
    fn link_targets(&self, known_local: usize, known_remote: usize) -> (usize, usize) {
        let local = self.settings.local_links.min(known_local);
        let lacking = self.settings.local_links - local;
        let remote = (self.settings.remote_links + lacking).min(known_remote);
        (local, remote)
    }

    fn open_link(&mut self, now: Timestamp, is_local: bool) {
        for _ in 0..Self::MAX_OPEN_ATTEMPTS {
            let Some(control) = self.pick_balancer(is_local) else {
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

    fn pick_balancer(&mut self, is_local: bool) -> Option<SocketAddrV4> {
        let own = &self.record.failure_domain;
        if is_local {
            let local = self.live_balancers.in_domain(own);
            let index = self.rng.random_range(0..local.len().max(1));
            return local.get(index).copied();
        }
        let remote_count = self.live_balancers.len() - self.live_balancers.in_domain(own).len();
        let index = self.rng.random_range(0..remote_count.max(1));
        self.live_balancers.outside_domain(own).nth(index)
    }

    fn close_remote_link(&mut self) {
        let own = &self.record.failure_domain;
        let remote_link = self
            .overlay
            .links
            .values()
            .find(|link| link.is_outbound && link.failure_domain != *own)
            .map(|link| link.control);
        if let Some(control) = remote_link {
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
            config_version: self.config_replica.version(),
            receiver_rank,
        };
        self.send(to, &Message::Keepalive(keepalive));
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
