use std::{net::SocketAddrV4, time::Duration};

use arbutus_core::{flow::LoadReport, request::PeerCapacity, roster::AgentRecord, time::Timestamp};
use indexmap::IndexMap;

/// Time after its receipt at which a load report expires.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(1);

/// The latest load reports of the agents that serve the same service.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    /// Control address of each peer, by tunnel address.
    peers: IndexMap<SocketAddrV4, SocketAddrV4>,
    /// Latest report of each peer, by tunnel address.
    reports: IndexMap<SocketAddrV4, ReportedLoad>,
}

#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    requests: u32,
    free_slots: u32,
    accepts_work: bool,
    received_at: Timestamp,
}

impl PeerLoads {
    /// Replaces the list of peers.
    pub(super) fn set_peers(&mut self, peers: &[AgentRecord]) {
        self.peers = peers.iter().map(|it| (it.tunnel, it.control)).collect();
    }

    /// Records a report and removes expired ones.
    pub(super) fn record(&mut self, report: &LoadReport, now: Timestamp) {
        let load = ReportedLoad {
            requests: report.requests,
            free_slots: report.free_slots,
            accepts_work: report.weight_permille > 0,
            received_at: now,
        };
        self.reports.insert(report.from, load);
        self.reports
            .retain(|_, load| now.since(load.received_at) <= LOAD_REPORT_TTL);
    }

    /// Returns the free slots of each known peer that accepts work.
    pub(super) fn peer_capacities(&self, now: Timestamp) -> Vec<PeerCapacity> {
        let capacity = |(tunnel, load): (&SocketAddrV4, &ReportedLoad)| {
            let control = *self.peers.get(tunnel)?;
            Some(PeerCapacity {
                control,
                free_slots: load.free_slots,
            })
        };
        self.unexpired(now)
            .filter(|(_, load)| load.accepts_work)
            .filter_map(capacity)
            .collect()
    }

    /// Returns the coefficient of variation of the number of in-flight requests, in thousandths.
    ///
    /// It is taken over this agent, which has `own_requests`, and the peers that accept work.
    pub(super) fn imbalance_thousandths(&self, own_requests: i64, now: Timestamp) -> i64 {
        let peers = self.unexpired(now).filter(|(_, load)| load.accepts_work);
        let loads: Vec<f64> = std::iter::once(to_f64(own_requests))
            .chain(peers.map(|(_, load)| f64::from(load.requests)))
            .collect();
        let count = f64::from(u32::try_from(loads.len()).unwrap_or(u32::MAX));
        let mean = loads.iter().sum::<f64>() / count;
        if mean <= 0.0 {
            return 0;
        }
        let variance = loads.iter().map(|it| (it - mean).powi(2)).sum::<f64>() / count;
        to_thousandths(variance.sqrt() / mean)
    }

    fn unexpired(&self, now: Timestamp) -> impl Iterator<Item = (&SocketAddrV4, &ReportedLoad)> {
        let is_unexpired =
            move |load: &ReportedLoad| now.since(load.received_at) <= LOAD_REPORT_TTL;
        self.reports
            .iter()
            .filter(move |(_, load)| is_unexpired(load))
    }
}

fn to_f64(requests: i64) -> f64 {
    f64::from(u32::try_from(requests).unwrap_or_default())
}

fn to_thousandths(ratio: f64) -> i64 {
    const MAX_THOUSANDTHS: f64 = 1_000_000.0;
    let thousandths = (ratio * 1_000.0).round().clamp(0.0, MAX_THOUSANDTHS);
    // The clamp above keeps the value in range.
    #[expect(clippy::cast_possible_truncation)]
    let truncated = thousandths as i64;
    truncated
}
