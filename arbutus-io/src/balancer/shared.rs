use std::sync::Arc;

use arbutus_core::{keys::KeyRing, route::RouteTable};
use arc_swap::ArcSwap;
use prometheus_client::metrics::counter::Counter;

use super::fabric_sources::FabricSources;
use crate::metrics::{BalancerMetrics, ReasonLabel};

/// What the workers of the data path share; none of it takes a lock for a packet.
#[derive(Debug)]
pub struct DataPath {
    /// Replaced whole by the control task; a worker loads it once for each batch.
    pub(super) table: ArcSwap<RouteTable>,
    pub(super) keys: KeyRing,
    pub(super) fabric: FabricSources,
    pub(super) metrics: Arc<BalancerMetrics>,
    pub(super) bad_source: Counter,
    pub(super) bad_header: Counter,
    pub(super) bad_mac: Counter,
    pub(super) oversized: Counter,
}

impl DataPath {
    /// Makes the shared part with an empty table.
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

    /// The table in use.
    #[must_use]
    pub fn table(&self) -> Arc<RouteTable> {
        self.table.load_full()
    }

    /// Puts another table in use.
    pub fn set_table(&self, table: RouteTable) {
        self.table.store(Arc::new(table));
    }
}
