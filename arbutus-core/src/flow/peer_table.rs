use std::net::SocketAddrV4;

use indexmap::IndexMap;
use rand::Rng;

use super::{FlowPolicy, LoadReport, peer::Peer};
use crate::{roster::AgentRecord, route, time::Timestamp};

/// The peer that a new flow would load least.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct BestPeer {
    pub(super) tunnel: SocketAddrV4,
    pub(super) score: u64,
    pub(super) requests: u32,
}

/// Where a report goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReportTarget {
    pub(super) tunnel: SocketAddrV4,
    pub(super) control: SocketAddrV4,
}

/// The other agents of the service, as far as they are known.
#[derive(Debug)]
pub(super) struct PeerTable {
    own: SocketAddrV4,
    peers: IndexMap<SocketAddrV4, Peer>,
    /// The sample of the present round, if it has been drawn since the last list.
    sample: Option<Sample>,
}

#[derive(Debug)]
struct Sample {
    round: u64,
    targets: Vec<ReportTarget>,
}

impl PeerTable {
    pub(super) fn new(own: SocketAddrV4) -> Self {
        Self {
            own,
            peers: IndexMap::new(),
            sample: None,
        }
    }

    /// Takes in the roster's list. A peer that is not on it stays for as long as it reports, so
    /// that a balancer with an empty roster takes nobody away.
    pub(super) fn list(&mut self, records: &[AgentRecord], policy: &FlowPolicy, now: Timestamp) {
        for peer in self.peers.values_mut() {
            peer.unlist();
        }
        for record in records.iter().filter(|it| it.tunnel != self.own) {
            self.peers.entry(record.tunnel).or_default().list(record);
        }
        self.peers.retain(|_, peer| peer.is_known(policy, now));
        self.sample = None;
    }

    /// Takes in a report; gives `false` where it is this agent's own or a later one is known.
    pub(super) fn hear(&mut self, report: LoadReport, policy: &FlowPolicy, now: Timestamp) -> bool {
        report.from != self.own
            && self
                .peers
                .entry(report.from)
                .or_default()
                .hear(report, policy, now)
    }

    /// The peer with the lowest score among fresh reports; one at random among equals.
    pub(super) fn best(
        &self,
        policy: &FlowPolicy,
        rng: &mut impl Rng,
        now: Timestamp,
    ) -> Option<BestPeer> {
        let mut best: Option<BestPeer> = None;
        let mut equals = 0;
        for (tunnel, peer) in &self.peers {
            let Some(load) = peer.load(policy, now) else {
                continue;
            };
            let Some(score) = load.score(policy) else {
                continue;
            };
            let order = best.map(|best| score.cmp(&best.score));
            equals = match order {
                Some(std::cmp::Ordering::Greater) => continue,
                Some(std::cmp::Ordering::Equal) => equals + 1,
                Some(std::cmp::Ordering::Less) | None => 1,
            };
            if equals == 1 || rng.random_range(0..equals) == 0 {
                best = Some(BestPeer {
                    tunnel: *tunnel,
                    score,
                    requests: load.requests,
                });
            }
        }
        best
    }

    pub(super) fn note_sent(&mut self, tunnel: SocketAddrV4, policy: &FlowPolicy, now: Timestamp) {
        if let Some(peer) = self.peers.get_mut(&tunnel)
            && peer.is_fresh(policy, now)
        {
            peer.note_sent(now);
        }
    }

    pub(super) fn takes_none(
        &self,
        tunnel: SocketAddrV4,
        policy: &FlowPolicy,
        now: Timestamp,
    ) -> bool {
        let peer = self.peers.get(&tunnel);
        peer.is_some_and(|peer| peer.takes_none(policy, now))
    }

    pub(super) fn is_lost(
        &self,
        tunnel: SocketAddrV4,
        policy: &FlowPolicy,
        now: Timestamp,
    ) -> bool {
        let peer = self.peers.get(&tunnel);
        peer.is_some_and(|peer| peer.is_lost(policy, now))
    }

    /// The peers to report to: all, or a sample of the policy's size that changes with `round`.
    pub(super) fn targets(&mut self, policy: &FlowPolicy, round: u64) -> &[ReportTarget] {
        let drawn = self.sample.take().filter(|sample| sample.round == round);
        let sample = drawn.unwrap_or_else(|| self.draw(policy, round));
        &self.sample.insert(sample).targets
    }

    fn draw(&self, policy: &FlowPolicy, round: u64) -> Sample {
        let addresses = self.peers.iter().filter_map(|(tunnel, peer)| {
            Some(ReportTarget {
                tunnel: *tunnel,
                control: peer.report_address()?,
            })
        });
        let mut targets: Vec<_> = addresses.collect();
        if targets.len() > policy.report_peers {
            targets.sort_by_cached_key(|target| self.rank(target.tunnel, round));
            targets.truncate(policy.report_peers);
        }
        Sample { round, targets }
    }

    fn rank(&self, peer: SocketAddrV4, round: u64) -> u64 {
        let mut salt = [0; 14];
        salt[..4].copy_from_slice(&peer.ip().octets());
        salt[4..6].copy_from_slice(&peer.port().to_be_bytes());
        salt[6..].copy_from_slice(&round.to_be_bytes());
        route::flow_hash(self.own, &salt)
    }
}
