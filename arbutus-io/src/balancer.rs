//! The balancer: takes callers' datagrams from the fabric, sends each to an agent, and returns
//! what the agents answer.

mod balancer_error;
mod control_task;
mod daemon;
mod fabric_sources;
mod inbound;
mod outbound;
mod shared;
mod store_task;
mod views;
mod workers;

pub use balancer_error::BalancerError;
pub use daemon::run;
pub use shared::DataPath;
pub use workers::spawn_workers;
