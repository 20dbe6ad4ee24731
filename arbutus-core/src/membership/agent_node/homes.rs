//! Selection of the home balancers to which the agent sends its heartbeats.

use std::{net::SocketAddrV4, time::Duration};

use rand::Rng;

use super::{AgentNode, home::Home};
use crate::{
    membership::{Heartbeat, HomeOffer, Message},
    roster::Rank,
    time::Timestamp,
};

impl AgentNode {
    /// Time for which a balancer that did not answer is not selected again.
    const FAILURE_BACKOFF: Duration = Duration::from_secs(5);
    /// Limit on remembered balancers, besides the configured ones.
    const MAX_KNOWN_BALANCERS: usize = 16;

    pub(super) fn record_ack(
        &mut self,
        from: SocketAddrV4,
        known_rank: Option<Rank>,
        now: Timestamp,
    ) {
        if let Some(home) = self.homes.iter_mut().find(|it| it.control == from) {
            home.last_received = now;
            home.has_answered = true;
            home.acknowledged = known_rank;
        }
        self.known_balancers.insert(from, Timestamp::ZERO);
        self.trim_known_balancers();
    }

    pub(super) fn on_unreachable(&mut self, peer: SocketAddrV4, now: Timestamp) {
        self.drop_home(peer, now);
        self.fill_homes(now);
    }

    /// Makes the balancers that are responsible for this agent its homes.
    pub(super) fn adopt_home_offer(&mut self, offer: &HomeOffer, now: Timestamp) {
        self.next_home_request = now + self.settings.home_refresh_interval;
        for control in offer.homes.iter().chain(&offer.spares) {
            self.known_balancers
                .entry(*control)
                .or_insert(Timestamp::ZERO);
        }
        self.offered_homes.clone_from(&offer.homes);
        self.trim_known_balancers();
        let usable = |control: &SocketAddrV4| {
            self.known_balancers
                .get(control)
                .is_none_or(|it| *it <= now)
        };
        let missing: Vec<SocketAddrV4> = offer
            .homes
            .iter()
            .copied()
            .filter(|it| usable(it) && !self.has_home(*it))
            .collect();
        for control in missing {
            self.homes.push(Home::new(control, now));
            self.send_heartbeat(control, now);
        }
    }

    /// Drops homes that timed out, selects replacements and drops surplus homes.
    pub(super) fn review_homes(&mut self, now: Timestamp) {
        let timeout = self.settings.home_timeout;
        let silent: Vec<SocketAddrV4> = self
            .homes
            .iter()
            .filter(|home| now.since(home.last_received) >= timeout)
            .map(|home| home.control)
            .collect();
        for control in silent {
            self.drop_home(control, now);
        }
        self.fill_homes(now);
        self.drop_surplus_homes(now);
    }

    /// Restarts the timeouts of all homes if this process stalled for a heartbeat interval, because
    /// messages that arrived in that time were not processed.
    pub(super) fn reset_timeouts_after_stall(&mut self, now: Timestamp) {
        if now.since(self.next_heartbeat) < self.settings.heartbeat_interval {
            return;
        }
        for home in &mut self.homes {
            home.last_received = now;
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Timestamp) {
        let controls: Vec<SocketAddrV4> = self.homes().collect();
        self.request_turn = self.request_turn.wrapping_add(1);
        for control in controls {
            self.send_heartbeat(control, now);
        }
    }

    pub(super) fn send_heartbeat(&mut self, to: SocketAddrV4, now: Timestamp) {
        let rank = self.record.rank();
        let index = self.homes.iter().position(|home| home.control == to);
        let acknowledged = index.and_then(|index| self.homes[index].acknowledged);
        let has_turn = index.is_some_and(|it| it == self.request_turn % self.homes.len());
        let heartbeat = Heartbeat {
            tunnel: self.record.tunnel,
            rank,
            is_home: index.is_some(),
            record: (acknowledged != Some(rank)).then(|| self.record.clone()),
            service_version: self.service_version(),
            wants_peers: has_turn && now >= self.next_peer_request,
            wants_homes: has_turn && now >= self.next_home_request,
        };
        self.send(to, &Message::Heartbeat(heartbeat));
    }

    fn has_home(&self, control: SocketAddrV4) -> bool {
        self.homes.iter().any(|home| home.control == control)
    }

    fn target_homes(&self) -> usize {
        self.settings.local_homes + self.settings.remote_homes
    }

    fn drop_home(&mut self, control: SocketAddrV4, now: Timestamp) {
        if !self.has_home(control) {
            return;
        }
        self.homes.retain(|home| home.control != control);
        self.known_balancers
            .insert(control, now + Self::FAILURE_BACKOFF);
        self.next_home_request = now;
    }

    /// Adds known balancers until there are enough homes, offered ones first.
    fn fill_homes(&mut self, now: Timestamp) {
        while self.homes.len() < self.target_homes() {
            let mut usable: Vec<SocketAddrV4> = self
                .known_balancers
                .iter()
                .filter(|(control, until)| **until <= now && !self.has_home(**control))
                .map(|(control, _)| *control)
                .collect();
            usable.sort_by_key(|control| !self.offered_homes.contains(control));
            if usable.is_empty() {
                usable = self.any_known_balancer();
            }
            if usable.is_empty() {
                return;
            }
            let is_offered = |it: &SocketAddrV4| self.offered_homes.contains(it);
            let offered = usable.iter().filter(|it| is_offered(it)).count();
            let choices = if offered == 0 { usable.len() } else { offered };
            let index = self.rng.random_range(0..choices);
            self.homes.push(Home::new(usable[index], now));
            self.next_home_request = now;
        }
    }

    /// Returns all known balancers, even those in backoff, if the agent has no home left.
    fn any_known_balancer(&self) -> Vec<SocketAddrV4> {
        if self.homes.is_empty() {
            self.known_balancers.keys().copied().collect()
        } else {
            Vec::new()
        }
    }

    /// Drops homes that were not offered, once all offered homes have acknowledged a heartbeat.
    fn drop_surplus_homes(&mut self, now: Timestamp) {
        let is_offered = |home: &Home| self.offered_homes.contains(&home.control);
        let all_answered = self
            .homes
            .iter()
            .filter(|home| is_offered(home))
            .all(|home| home.has_answered);
        let offered = self.homes.iter().filter(|home| is_offered(home)).count();
        if !all_answered || offered < self.offered_homes.len().min(self.target_homes()) {
            return;
        }
        let surplus: Vec<SocketAddrV4> = self
            .homes
            .iter()
            .filter(|home| !is_offered(home))
            .map(|home| home.control)
            .collect();
        if self.offered_homes.is_empty() || self.homes.len() <= self.target_homes() {
            return;
        }
        for control in surplus {
            self.homes.retain(|home| home.control != control);
            self.send_heartbeat(control, now);
        }
    }

    /// Evicts the oldest known balancers beyond the limit, except configured ones and homes.
    fn trim_known_balancers(&mut self) {
        while self.known_balancers.len()
            > Self::MAX_KNOWN_BALANCERS + self.configured_balancers.len()
        {
            let oldest = self
                .known_balancers
                .keys()
                .position(|it| !self.configured_balancers.contains(it) && !self.has_home(*it));
            let Some(oldest) = oldest else {
                return;
            };
            self.known_balancers.shift_remove_index(oldest);
        }
    }
}
