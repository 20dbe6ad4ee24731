//! The balancers that the agent announces itself to.

use std::{net::SocketAddrV4, time::Duration};

use rand::Rng;

use super::{AgentNode, known_balancer::Home};
use crate::{
    membership::{Heartbeat, HomeOffer, Message},
    roster::Rank,
    time::Timestamp,
};

impl AgentNode {
    /// How long a balancer that did not answer is left alone.
    const FAILURE_PAUSE: Duration = Duration::from_secs(5);
    /// Balancers remembered.
    const KNOWN: usize = 16;

    pub(super) fn note_answer(&mut self, from: SocketAddrV4, known: Option<Rank>, now: Timestamp) {
        if let Some(home) = self.homes.iter_mut().find(|it| it.control == from) {
            home.last_heard = now;
            home.has_answered = true;
            home.acknowledged = known;
        }
        self.known.insert(from, Timestamp::ZERO);
        self.trim_known();
    }

    pub(super) fn on_unreachable(&mut self, peer: SocketAddrV4, now: Timestamp) {
        self.drop_home(peer, now);
        self.fill_homes(now);
    }

    /// Takes the balancers that are responsible for this agent as its homes.
    pub(super) fn take_offer(&mut self, offer: &HomeOffer, now: Timestamp) {
        self.next_homes = now + self.settings.home_refresh_interval;
        for control in offer.homes.iter().chain(&offer.spares) {
            self.known.entry(*control).or_insert(Timestamp::ZERO);
        }
        self.offered.clone_from(&offer.homes);
        self.trim_known();
        let usable = |control: &SocketAddrV4| self.known.get(control).is_none_or(|it| *it <= now);
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

    /// Drops homes that are silent, finds others, and leaves those that are too many.
    pub(super) fn review_homes(&mut self, now: Timestamp) {
        let silence = self.settings.home_timeout;
        let silent: Vec<SocketAddrV4> = self
            .homes
            .iter()
            .filter(|home| now.since(home.last_heard) >= silence)
            .map(|home| home.control)
            .collect();
        for control in silent {
            self.drop_home(control, now);
        }
        self.fill_homes(now);
        self.leave_surplus(now);
    }

    /// Counts silence from now on where this process itself did not run for a while.
    pub(super) fn forgive_own_pause(&mut self, now: Timestamp) {
        if now.since(self.next_heartbeat) < self.settings.heartbeat_interval {
            return;
        }
        for home in &mut self.homes {
            home.last_heard = now;
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Timestamp) {
        let controls: Vec<SocketAddrV4> = self.homes().collect();
        self.turn = self.turn.wrapping_add(1);
        for control in controls {
            self.send_heartbeat(control, now);
        }
    }

    pub(super) fn send_heartbeat(&mut self, to: SocketAddrV4, now: Timestamp) {
        let rank = self.record.rank();
        let index = self.homes.iter().position(|home| home.control == to);
        let acknowledged = index.and_then(|index| self.homes[index].acknowledged);
        let is_turn = index.is_some_and(|it| it == self.turn % self.homes.len());
        let heartbeat = Heartbeat {
            tunnel: self.record.tunnel,
            rank,
            is_home: index.is_some(),
            record: (acknowledged != Some(rank)).then(|| self.record.clone()),
            service_version: self.service_version(),
            wants_peers: is_turn && now >= self.next_peers,
            wants_homes: is_turn && now >= self.next_homes,
        };
        self.send(to, &Message::Heartbeat(heartbeat));
    }

    fn has_home(&self, control: SocketAddrV4) -> bool {
        self.homes.iter().any(|home| home.control == control)
    }

    fn home_count(&self) -> usize {
        self.settings.local_homes + self.settings.remote_homes
    }

    fn drop_home(&mut self, control: SocketAddrV4, now: Timestamp) {
        if !self.has_home(control) {
            return;
        }
        self.homes.retain(|home| home.control != control);
        self.known.insert(control, now + Self::FAILURE_PAUSE);
        self.next_homes = now;
    }

    /// Adds known balancers until there are enough homes.
    fn fill_homes(&mut self, now: Timestamp) {
        while self.homes.len() < self.home_count() {
            let mut usable: Vec<SocketAddrV4> = self
                .known
                .iter()
                .filter(|(control, until)| **until <= now && !self.has_home(**control))
                .map(|(control, _)| *control)
                .collect();
            usable.sort_by_key(|control| !self.offered.contains(control));
            if usable.is_empty() {
                usable = self.last_resort();
            }
            if usable.is_empty() {
                return;
            }
            let is_offered = |it: &SocketAddrV4| self.offered.contains(it);
            let offered = usable.iter().filter(|it| is_offered(it)).count();
            let choices = if offered == 0 { usable.len() } else { offered };
            let index = self.rng.random_range(0..choices);
            self.homes.push(Home::new(usable[index], now));
            self.next_homes = now;
        }
    }

    /// Any known balancer, where the agent has no home at all.
    fn last_resort(&self) -> Vec<SocketAddrV4> {
        if self.homes.is_empty() {
            self.known.keys().copied().collect()
        } else {
            Vec::new()
        }
    }

    /// Leaves homes that were not offered, once those that were have answered.
    fn leave_surplus(&mut self, now: Timestamp) {
        let is_offered = |home: &Home| self.offered.contains(&home.control);
        let all_answered = self
            .homes
            .iter()
            .filter(|home| is_offered(home))
            .all(|home| home.has_answered);
        let offered = self.homes.iter().filter(|home| is_offered(home)).count();
        if !all_answered || offered < self.offered.len().min(self.home_count()) {
            return;
        }
        let surplus: Vec<SocketAddrV4> = self
            .homes
            .iter()
            .filter(|home| !is_offered(home))
            .map(|home| home.control)
            .collect();
        if self.offered.is_empty() || self.homes.len() <= self.home_count() {
            return;
        }
        for control in surplus {
            self.homes.retain(|home| home.control != control);
            self.send_heartbeat(control, now);
        }
    }

    /// Keeps the settings' balancers and the latest others.
    fn trim_known(&mut self) {
        while self.known.len() > Self::KNOWN + self.configured.len() {
            let oldest = self
                .known
                .keys()
                .position(|it| !self.configured.contains(it) && !self.has_home(*it));
            let Some(oldest) = oldest else {
                return;
            };
            self.known.shift_remove_index(oldest);
        }
    }
}
