//! The agent's announcer, by what it deals with.

mod homes;
mod known_balancer;
mod node;
mod own_record;

pub use node::AgentNode;
