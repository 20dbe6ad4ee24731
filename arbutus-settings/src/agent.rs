//! The settings of the agent daemon.

mod agent_settings;

pub use agent_settings::AgentSettings;
