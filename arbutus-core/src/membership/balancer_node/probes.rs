//! Probes of balancers without a link: reconnecting to them, and detecting their failure.

use std::{net::SocketAddrV4, time::Duration};

use rand::Rng;

use super::BalancerNode;
use crate::{
    membership::{LinkIntent, pending_probe::PendingProbe},
    roster::{AgentState, BalancerRecord, MemberKey},
    time::Timestamp,
};

impl BalancerNode {
    /// Limit on configured peers probed at once.
    const MAX_CONFIGURED_PROBES: usize = 3;
    /// Time between two reconnection attempts of a balancer without links.
    const UNLINKED_RECONNECT_INTERVAL: Duration = Duration::from_secs(1);

    /// Probes balancers that were lost or never linked, so that balancers find each other again
    /// after a partition.
    pub(super) fn reconnect(&mut self, now: Timestamp) {
        if now < self.next_reconnect {
            return;
        }
        let is_unlinked = self.overlay.links.is_empty();
        let pause = if is_unlinked {
            Self::UNLINKED_RECONNECT_INTERVAL
        } else {
            self.settings.reconnect_interval
        };
        let factor = self.rng.random_range(0.75..1.25);
        self.next_reconnect = now + pause.mul_f64(factor);
        if is_unlinked {
            self.probe_configured_peers(now);
        }
        self.probe_others(now);
    }

    fn probe_configured_peers(&mut self, now: Timestamp) {
        let mut peers = self.peers.clone();
        for _ in 0..Self::MAX_CONFIGURED_PROBES.min(peers.len()) {
            let index = self.rng.random_range(0..peers.len());
            let peer = peers.swap_remove(index);
            self.probe_balancer(peer, now);
        }
    }

    /// Probes one lost balancer, one configured peer that is not in the roster, and one random
    /// balancer, so that the failure of an unlinked balancer is detected.
    fn probe_others(&mut self, now: Timestamp) {
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
            self.probe_balancer(control, now);
        }
    }

    fn probe_balancer(&mut self, control: SocketAddrV4, now: Timestamp) {
        let is_linked = self.overlay.links.contains_key(&control);
        if control != self.record.control && !is_linked {
            self.overlay
                .pending_probes
                .insert(control, PendingProbe::new(now));
            self.send_keepalive(control, LinkIntent::Probe);
        }
    }

    /// Resends unanswered probes, and suspects balancers that answered none in time.
    pub(super) fn scan_pending_probes(&mut self, now: Timestamp) {
        let limit = self.settings.balancer_suspect_timeout;
        let (mut resend, mut lost) = (Vec::new(), Vec::new());
        self.overlay
            .pending_probes
            .retain(|control, pending_probe| {
                if now.since(pending_probe.started_at) >= limit {
                    lost.push(*control);
                    return false;
                }
                if now.since(pending_probe.last_sent) >= limit / 4 {
                    pending_probe.last_sent = now;
                    resend.push(*control);
                }
                true
            });
        for control in resend {
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
            self.domain_last_suspected.insert(domain, now);
            self.suspect(&MemberKey::Balancer(control), now);
        }
    }
}
