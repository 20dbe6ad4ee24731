use prometheus_client::{
    metrics::{counter::Counter, histogram::Histogram},
    registry::Registry,
};

/// The metrics of the calls to the store.
#[derive(Debug, Clone)]
pub struct StoreMetrics {
    /// Failed calls.
    pub failures: Counter,
    /// How often the store came back from an older copy.
    pub restores: Counter,
    /// Duration of calls other than watches, in seconds.
    pub seconds: Histogram,
}

impl StoreMetrics {
    pub(super) fn new() -> Self {
        Self {
            failures: Counter::default(),
            restores: Counter::default(),
            seconds: Histogram::new(super::STORE_BUCKETS_S),
        }
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "arbutus_store_failures",
            "Calls to the store that failed",
            self.failures.clone(),
        );
        registry.register(
            "arbutus_store_restores",
            "How often the store came back from an older copy",
            self.restores.clone(),
        );
        registry.register(
            "arbutus_store_seconds",
            "Time that a store call took",
            self.seconds.clone(),
        );
    }
}
