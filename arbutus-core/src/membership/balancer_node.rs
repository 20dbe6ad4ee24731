//! Control state machine of a balancer.

mod agents;
mod configs;
mod domains;
mod leave;
mod links;
mod node;
mod probes;
mod records;
mod repairs;

pub use node::BalancerNode;
