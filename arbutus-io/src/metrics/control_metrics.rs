use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use super::DirectionLabel;

/// What the control plane of one process costs and knows.
#[derive(Debug, Clone, Default)]
pub struct ControlMetrics {
    /// Bytes of control datagrams, headers of UDP and IP left out.
    pub bytes: Family<DirectionLabel, Counter>,
    /// The configuration version in force.
    pub config_version: Gauge,
    /// Invariants of the decisions that did not hold.
    pub invariant_violations: Counter,
}

impl ControlMetrics {
    /// Adds the metrics to `registry`.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "arbutus_control_bytes",
            "Bytes of the control plane",
            self.bytes.clone(),
        );
        registry.register(
            "arbutus_config_version",
            "Configuration version in force",
            self.config_version.clone(),
        );
        registry.register(
            "arbutus_invariant_violations",
            "Invariants of the decisions that did not hold",
            self.invariant_violations.clone(),
        );
    }
}
