use std::net::SocketAddrV4;

use indexmap::IndexMap;
use rand::Rng;

use super::{FlowPolicy, LoadReport, peer::Peer};
use crate::{roster::AgentRecord, route, time::Timestamp};

/// The peer with the best score for a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct BestPeer {
    pub(super) tunnel: SocketAddrV4,
    pub(super) score: u64,
    pub(super) requests: u32,
}

/// The addresses of a peer that load reports are sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReportTarget {
    pub(super) tunnel: SocketAddrV4,
    pub(super) control: SocketAddrV4,
}

/// The known other agents of the service.
#[derive(Debug)]
pub(super) struct PeerTable {
    own_tunnel: SocketAddrV4,
    peers: IndexMap<SocketAddrV4, Peer>,
    /// The sample of peers to report to in the current round, if it has been drawn since the last
    /// roster update.
    sample: Option<Sample>,
}

#[derive(Debug)]
struct Sample {
    round: u64,
    targets: Vec<ReportTarget>,
}

impl PeerTable {
    pub(super) fn new(own_tunnel: SocketAddrV4) -> Self {
        Self {
            own_tunnel,
            peers: IndexMap::new(),
            sample: None,
        }
    }

    /// Applies the roster's list of agents.
    ///
    /// A peer that is not listed is kept for as long as it reports, so that a balancer with an
    /// empty roster does not remove any peer.
    pub(super) fn set_listed(
        &mut self,
        records: &[AgentRecord],
        policy: &FlowPolicy,
        now: Timestamp,
    ) {
        for peer in self.peers.values_mut() {
            peer.clear_listed();
        }
        for record in records
            .iter()
            .filter(|record| record.tunnel != self.own_tunnel)
        {
            self.peers
                .entry(record.tunnel)
                .or_default()
                .set_listed(record);
        }
        self.peers.retain(|_, peer| peer.is_known(policy, now));
        self.sample = None;
    }

    /// Records a report. Returns `false` if it is this agent's own or a later one has already been
    /// received.
    pub(super) fn record_report(
        &mut self,
        report: LoadReport,
        policy: &FlowPolicy,
        now: Timestamp,
    ) -> bool {
        report.from != self.own_tunnel
            && self
                .peers
                .entry(report.from)
                .or_default()
                .record_report(report, policy, now)
    }

    /// Returns the peer with the lowest score among those with a fresh report. Ties are broken at
    /// random.
    pub(super) fn best(
        &self,
        policy: &FlowPolicy,
        rng: &mut impl Rng,
        now: Timestamp,
    ) -> Option<BestPeer> {
        let mut best: Option<BestPeer> = None;
        let mut ties = 0;
        for (tunnel, peer) in &self.peers {
            let Some(load) = peer.load(policy, now) else {
                continue;
            };
            let Some(score) = load.score(policy) else {
                continue;
            };
            let order = best.map(|best| score.cmp(&best.score));
            ties = match order {
                Some(std::cmp::Ordering::Greater) => continue,
                Some(std::cmp::Ordering::Equal) => ties + 1,
                Some(std::cmp::Ordering::Less) | None => 1,
            };
            if ties == 1 || rng.random_range(0..ties) == 0 {
                best = Some(BestPeer {
                    tunnel: *tunnel,
                    score,
                    requests: load.requests,
                });
            }
        }
        best
    }

    /// Counts one more flow towards the peer's load, if its report is fresh.
    pub(super) fn record_sent_flow(
        &mut self,
        tunnel: SocketAddrV4,
        policy: &FlowPolicy,
        now: Timestamp,
    ) {
        if let Some(peer) = self.peers.get_mut(&tunnel)
            && peer.is_fresh(policy, now)
        {
            peer.record_sent_flow(now);
        }
    }

    pub(super) fn refuses_new_flows(
        &self,
        tunnel: SocketAddrV4,
        policy: &FlowPolicy,
        now: Timestamp,
    ) -> bool {
        let peer = self.peers.get(&tunnel);
        peer.is_some_and(|peer| peer.refuses_new_flows(policy, now))
    }

    pub(super) fn is_presumed_lost(
        &self,
        tunnel: SocketAddrV4,
        policy: &FlowPolicy,
        now: Timestamp,
    ) -> bool {
        let peer = self.peers.get(&tunnel);
        peer.is_some_and(|peer| peer.is_presumed_lost(policy, now))
    }

    /// Returns the peers to report to: all, or a sample of [`FlowPolicy::max_report_peers`] that
    /// changes with `round`.
    pub(super) fn report_targets(&mut self, policy: &FlowPolicy, round: u64) -> &[ReportTarget] {
        let drawn = self.sample.take().filter(|sample| sample.round == round);
        let sample = drawn.unwrap_or_else(|| self.draw_sample(policy, round));
        &self.sample.insert(sample).targets
    }

    fn draw_sample(&self, policy: &FlowPolicy, round: u64) -> Sample {
        let addresses = self.peers.iter().filter_map(|(tunnel, peer)| {
            Some(ReportTarget {
                tunnel: *tunnel,
                control: peer.report_address()?,
            })
        });
        let mut targets: Vec<_> = addresses.collect();
        if targets.len() > policy.max_report_peers {
            targets.sort_by_cached_key(|target| self.sample_rank(target.tunnel, round));
            targets.truncate(policy.max_report_peers);
        }
        Sample { round, targets }
    }

    /// Returns a pseudorandom rank of `peer` for this agent and `round`.
    fn sample_rank(&self, peer: SocketAddrV4, round: u64) -> u64 {
        let mut salt = [0; 14];
        salt[..4].copy_from_slice(&peer.ip().octets());
        salt[4..6].copy_from_slice(&peer.port().to_be_bytes());
        salt[6..].copy_from_slice(&round.to_be_bytes());
        route::flow_hash(self.own_tunnel, &salt)
    }
}
