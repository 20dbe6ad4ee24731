//! Control state machine of an agent.

mod home;
mod homes;
mod node;
mod own_record;

pub use node::AgentNode;
