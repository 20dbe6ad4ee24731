//! Counters and gauges that every process shows in the `OpenMetrics` format.

mod agent_metrics;
mod balancer_metrics;
mod control_metrics;
mod labels;

pub use agent_metrics::AgentMetrics;
pub use balancer_metrics::BalancerMetrics;
pub use control_metrics::ControlMetrics;
pub use labels::{DirectionLabel, OutcomeLabel, ReasonLabel};
