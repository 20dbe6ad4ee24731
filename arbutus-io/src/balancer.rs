//! The balancer: forwards callers' datagrams from the fabric to agents, and the agents' datagrams
//! back to the fabric.

mod balancer_error;
mod control_task;
mod daemon;
mod data_path;
mod fabric_sources;
mod inbound;
mod outbound;
mod store_task;
mod views;
mod workers;

pub use balancer_error::BalancerError;
pub use daemon::run;
pub use data_path::DataPath;
pub use workers::spawn_workers;
