//! The balancer's control machine, by what it deals with.

mod agents;
mod configs;
mod domains;
mod greetings;
mod leave;
mod links;
mod node;
mod records;
mod repairs;

pub use node::BalancerNode;
