use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use super::DirectionLabel;

/// The control plane metrics of one process.
#[derive(Debug, Clone, Default)]
pub struct ControlMetrics {
    /// Bytes of control datagrams, excluding UDP and IP headers.
    pub bytes: Family<DirectionLabel, Counter>,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Violated invariants of the core state machines.
    pub invariant_violations: Counter,
}

impl ControlMetrics {
    /// Registers the metrics in `registry`.
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
