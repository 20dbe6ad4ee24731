//! Who is there: records of agents, each with one author.

mod agent_record;
mod agent_state;

pub use agent_record::AgentRecord;
pub use agent_state::AgentState;
