//! The JSON bodies of the admin port.

mod agent_view;
mod balancer_view;
mod config_view;
mod roster_view;
mod state_name;

pub use agent_view::AgentView;
pub use balancer_view::BalancerView;
pub use config_view::ConfigView;
pub use roster_view::RosterView;
