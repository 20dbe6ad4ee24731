//! The configuration: reads of the store, and pages from and to other balancers.

use std::{net::SocketAddrV4, time::Duration};

use rand::Rng;

use super::BalancerNode;
use crate::{
    config::Snapshot,
    config_sync::{ConfigPage, ConfigPull, PageOutcome},
    membership::{BalancerAction, LinkIntent, Message},
    time::Timestamp,
};

impl BalancerNode {
    /// Time after which a change that was sent is sent again, or asked for again.
    const CONFIG_RETRY: Duration = Duration::from_secs(1);

    /// Time after which pages that came are given up where no more follow.
    const STAGING_LIFE: Duration = Duration::from_secs(5);

    pub(super) fn on_config_read(&mut self, snapshot: &Snapshot, now: Timestamp) {
        self.on_store_answer(now);
        if self.book.adopt_snapshot(snapshot) {
            self.on_new_config(now);
        }
    }

    pub(super) fn on_store_answer(&mut self, now: Timestamp) {
        self.store
            .on_answer(self.settings.store_poll_interval, now, &mut self.rng);
    }

    pub(super) fn on_store_failure(&mut self, now: Timestamp) {
        self.store
            .on_failure(self.settings.store_poll_interval, now, &mut self.rng);
    }

    pub(super) fn on_config_pull(&mut self, from: SocketAddrV4, pull: ConfigPull) {
        let page = self.book.page(pull);
        self.send(from, &Message::ConfigPage(page));
    }

    pub(super) fn on_config_page(&mut self, from: SocketAddrV4, page: ConfigPage, now: Timestamp) {
        if let Some(link) = self.overlay.get_mut(from) {
            link.config_version = link.config_version.max(Some(page.version));
        }
        match self.book.on_page(page) {
            PageOutcome::Ignored => {}
            PageOutcome::Adopted => self.on_new_config(now),
            PageOutcome::Pull(pull) => {
                self.last_page = now;
                self.next_pull = now + Self::CONFIG_RETRY;
                self.send(from, &Message::ConfigPull(pull));
            }
        }
    }

    /// Puts the next configuration in force and sends it on at once.
    fn on_new_config(&mut self, now: Timestamp) {
        let snapshot = self.book.snapshot().clone();
        self.actions.push(BalancerAction::ConfigInForce(snapshot));
        self.offer_config(now);
    }

    /// Sends what is new to linked balancers that lag, and asks those that are ahead.
    pub(super) fn spread_config(&mut self, now: Timestamp) {
        self.offer_config(now);
        if now.since(self.last_page) > Self::STAGING_LIFE {
            self.book.abandon_staging();
        }
        if now < self.next_pull {
            return;
        }
        let own = self.book.version();
        let ahead: Vec<SocketAddrV4> = self
            .overlay
            .links
            .values()
            .filter(|link| link.config_version > Some(own))
            .map(|link| link.control)
            .collect();
        if ahead.is_empty() {
            return;
        }
        self.next_pull = now + Self::CONFIG_RETRY;
        let peer = ahead[self.rng.random_range(0..ahead.len())];
        let pull = self.book.pull();
        self.send(peer, &Message::ConfigPull(pull));
    }

    fn offer_config(&mut self, now: Timestamp) {
        let own = self.book.version();
        for index in 0..self.overlay.links.len() {
            let link = &mut self.overlay.links[index];
            let is_offered = link.config_offered == own
                && now.since(link.config_offered_at) < Self::CONFIG_RETRY;
            let Some(since) = link.config_version.filter(|it| *it < own && !is_offered) else {
                continue;
            };
            let to = link.control;
            link.config_offered = own;
            link.config_offered_at = now;
            let page = self.book.page(ConfigPull {
                since,
                after: None,
                full: false,
            });
            if page.has_more {
                self.send_keepalive(to, LinkIntent::Link);
            } else {
                self.send(to, &Message::ConfigPage(page));
            }
        }
    }

    pub(super) fn read_store(&mut self, now: Timestamp) {
        let knows_others = !self.is_joining || self.peers.is_empty();
        let is_reader = self.is_reader() && (knows_others || now >= self.reads_from);
        if let Some(read) = self.store.poll(is_reader, self.book.version(), now) {
            self.actions.push(BalancerAction::ReadStore(read));
        }
    }
}
