use std::sync::Arc;

use arbutus_core::{keys::KeyRing, route::RouteTable};
use arc_swap::ArcSwap;
use prometheus_client::metrics::counter::Counter;

use super::fabric_sources::FabricSources;
use crate::metrics::{BalancerMetrics, ReasonLabel};

/// State shared by the data path workers.
///
/// Processing a datagram takes no lock.
#[derive(Debug)]
pub struct DataPath {
    /// Replaced as a whole by the control task; workers load it once per batch.
    pub(super) table: ArcSwap<RouteTable>,
    pub(super) keys: KeyRing,
    pub(super) fabric: FabricSources,
    pub(super) metrics: Arc<BalancerMetrics>,
    /// Counts datagrams that do not come from a fabric address.
    pub(super) bad_source: Counter,
    /// Counts datagrams whose header cannot be decoded.
    pub(super) bad_header: Counter,
    /// Counts datagrams from the tunnel that fail authentication.
    pub(super) bad_mac: Counter,
    /// Counts datagrams that are too long to be forwarded.
    pub(super) oversized: Counter,
}

impl DataPath {
    /// Creates the shared state with an empty route table.
    #[must_use]
    pub fn new(
        keys: KeyRing,
        fabric_sources: Vec<std::net::SocketAddrV4>,
        metrics: Arc<BalancerMetrics>,
    ) -> Self {
        let counter = |reason| {
            let label = ReasonLabel { reason };
            metrics.dropped.get_or_create(&label).clone()
        };
        Self {
            table: ArcSwap::from_pointee(RouteTable::new()),
            keys,
            fabric: FabricSources::new(fabric_sources),
            bad_source: counter("bad-source"),
            bad_header: counter("bad-header"),
            bad_mac: counter("bad-mac"),
            oversized: counter("oversized"),
            metrics,
        }
    }

    /// Returns the route table in use.
    #[must_use]
    pub fn table(&self) -> Arc<RouteTable> {
        self.table.load_full()
    }

    /// Replaces the route table.
    pub fn set_table(&self, table: RouteTable) {
        self.table.store(Arc::new(table));
    }
}
