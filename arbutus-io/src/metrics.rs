//! Metrics that the processes expose in the `OpenMetrics` format.

mod agent_metrics;
mod balancer_metrics;
mod control_metrics;
mod labels;
mod packet_agent_metrics;
mod packet_balancer_metrics;
mod store_metrics;

pub use agent_metrics::AgentMetrics;
pub use balancer_metrics::BalancerMetrics;
pub use control_metrics::ControlMetrics;
use labels::{ANSWER_BUCKETS_S, STORE_BUCKETS_S};
pub use labels::{DirectionLabel, OutcomeLabel, ReasonLabel};
pub use packet_agent_metrics::PacketAgentMetrics;
pub use packet_balancer_metrics::PacketBalancerMetrics;
pub use store_metrics::StoreMetrics;
