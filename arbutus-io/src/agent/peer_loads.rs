use std::{net::SocketAddrV4, time::Duration};

use arbutus_core::{flow::LoadReport, request::PeerCapacity, roster::AgentRecord, time::Timestamp};
use indexmap::IndexMap;

/// How long a report counts.
const FRESH: Duration = Duration::from_secs(1);

/// The latest loads that peers of the service have reported.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    /// Control addresses by tunnel addresses.
    peers: IndexMap<SocketAddrV4, SocketAddrV4>,
    /// By tunnel addresses.
    heard: IndexMap<SocketAddrV4, Heard>,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    requests: u32,
    free_slots: u32,
    takes_work: bool,
    at: Timestamp,
}

impl PeerLoads {
    /// Replaces the list of peers.
    pub(super) fn set_peers(&mut self, peers: &[AgentRecord]) {
        self.peers = peers.iter().map(|it| (it.tunnel, it.control)).collect();
    }

    /// Takes in a report.
    pub(super) fn hear(&mut self, report: &LoadReport, now: Timestamp) {
        let heard = Heard {
            requests: report.requests,
            free_slots: report.free_slots,
            takes_work: report.weight_permille > 0,
            at: now,
        };
        self.heard.insert(report.from, heard);
        self.heard.retain(|_, heard| now.since(heard.at) <= FRESH);
    }

    /// The peers that take work, with the slots that they offer.
    pub(super) fn rooms(&self, now: Timestamp) -> Vec<PeerCapacity> {
        let room = |(tunnel, heard): (&SocketAddrV4, &Heard)| {
            let control = *self.peers.get(tunnel)?;
            Some(PeerCapacity {
                control,
                free_slots: heard.free_slots,
            })
        };
        self.fresh(now)
            .filter(|(_, heard)| heard.takes_work)
            .filter_map(room)
            .collect()
    }

    /// The coefficient of variation of work in hand over this agent, with `own` requests, and the
    /// peers that take work, in thousandths.
    pub(super) fn imbalance_thousandths(&self, own: i64, now: Timestamp) -> i64 {
        let peers = self.fresh(now).filter(|(_, heard)| heard.takes_work);
        let loads: Vec<f64> = std::iter::once(count(own))
            .chain(peers.map(|(_, heard)| f64::from(heard.requests)))
            .collect();
        let number = f64::from(u32::try_from(loads.len()).unwrap_or(u32::MAX));
        let mean = loads.iter().sum::<f64>() / number;
        if mean <= 0.0 {
            return 0;
        }
        let variance = loads.iter().map(|it| (it - mean).powi(2)).sum::<f64>() / number;
        to_thousandths(variance.sqrt() / mean)
    }

    fn fresh(&self, now: Timestamp) -> impl Iterator<Item = (&SocketAddrV4, &Heard)> {
        let is_fresh = move |heard: &Heard| now.since(heard.at) <= FRESH;
        self.heard.iter().filter(move |(_, heard)| is_fresh(heard))
    }
}

fn count(requests: i64) -> f64 {
    f64::from(u32::try_from(requests).unwrap_or_default())
}

fn to_thousandths(ratio: f64) -> i64 {
    const MOST: f64 = 1_000_000.0;
    let thousandths = (ratio * 1_000.0).round().clamp(0.0, MOST);
    // In range by the clamp above.
    #[expect(clippy::cast_possible_truncation)]
    let whole = thousandths as i64;
    whole
}
