//! The configuration: reads of the store, and pages exchanged with other balancers.

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
    /// Time after which an unacknowledged change is sent again or requested again.
    const CONFIG_RETRY_INTERVAL: Duration = Duration::from_secs(1);

    /// Time without further pages after which an incomplete configuration is discarded.
    const STAGING_TIMEOUT: Duration = Duration::from_secs(5);

    pub(super) fn on_config_read(&mut self, snapshot: &Snapshot, now: Timestamp) {
        self.on_store_reply(now);
        if self.config_replica.adopt_snapshot(snapshot) {
            self.on_new_config(now);
        }
    }

    pub(super) fn on_store_reply(&mut self, now: Timestamp) {
        self.store_schedule
            .on_answer(self.settings.store_poll_interval, now, &mut self.rng);
    }

    pub(super) fn on_store_failure(&mut self, now: Timestamp) {
        self.store_schedule
            .on_failure(self.settings.store_poll_interval, now, &mut self.rng);
    }

    pub(super) fn on_config_pull(&mut self, from: SocketAddrV4, pull: ConfigPull) {
        let page = self.config_replica.page(pull);
        self.send(from, &Message::ConfigPage(page));
    }

    pub(super) fn on_config_page(&mut self, from: SocketAddrV4, page: ConfigPage, now: Timestamp) {
        if let Some(link) = self.overlay.get_mut(from) {
            link.config_version = link.config_version.max(Some(page.version));
        }
        match self.config_replica.on_page(page) {
            PageOutcome::Ignored => {}
            PageOutcome::Adopted => self.on_new_config(now),
            PageOutcome::Pull(pull) => {
                self.last_page_at = now;
                self.next_pull = now + Self::CONFIG_RETRY_INTERVAL;
                self.send(from, &Message::ConfigPull(pull));
            }
        }
    }

    /// Reports the new configuration as in force and sends it to linked balancers at once.
    fn on_new_config(&mut self, now: Timestamp) {
        let snapshot = self.config_replica.snapshot().clone();
        self.actions.push(BalancerAction::ConfigInForce(snapshot));
        self.offer_config(now);
    }

    /// Sends the configuration to linked balancers that lag behind, and pulls from those ahead.
    pub(super) fn propagate_config(&mut self, now: Timestamp) {
        self.offer_config(now);
        if now.since(self.last_page_at) > Self::STAGING_TIMEOUT {
            self.config_replica.abandon_staging();
        }
        if now < self.next_pull {
            return;
        }
        let own = self.config_replica.version();
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
        self.next_pull = now + Self::CONFIG_RETRY_INTERVAL;
        let peer = ahead[self.rng.random_range(0..ahead.len())];
        let pull = self.config_replica.pull();
        self.send(peer, &Message::ConfigPull(pull));
    }

    /// Sends the configuration to linked balancers with an older one.
    ///
    /// Changes that do not fit on one page are only announced by a keepalive, and the receiver
    /// pulls them.
    fn offer_config(&mut self, now: Timestamp) {
        let own = self.config_replica.version();
        for index in 0..self.overlay.links.len() {
            let link = &mut self.overlay.links[index];
            let is_offered = link.offered_config_version == own
                && now.since(link.config_offered_at) < Self::CONFIG_RETRY_INTERVAL;
            let Some(since) = link.config_version.filter(|it| *it < own && !is_offered) else {
                continue;
            };
            let to = link.control;
            link.offered_config_version = own;
            link.config_offered_at = now;
            let page = self.config_replica.page(ConfigPull {
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

    /// Requests a read of the store when one is due.
    pub(super) fn read_store(&mut self, now: Timestamp) {
        let knows_others = !self.is_joining || self.peers.is_empty();
        let is_reader = self.is_reader() && (knows_others || now >= self.store_reads_from);
        if let Some(read) = self
            .store_schedule
            .poll(is_reader, self.config_replica.version(), now)
        {
            self.actions.push(BalancerAction::ReadStore(read));
        }
    }
}
