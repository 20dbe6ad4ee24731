//! A complete deployment of real processes on loopback addresses.

mod binaries;
mod layout;
mod live_nodes;
mod loopback_network;
mod managed_process;
mod nodes;
mod operator;
mod options;
mod readiness;
mod running;
mod settings_files;
mod stand_ins;

pub use binaries::Binaries;
pub use layout::{AgentPlan, Layout, ServicePlan};
pub use live_nodes::LiveNodes;
pub use loopback_network::LoopbackNetwork;
pub use managed_process::ManagedProcess;
pub use operator::Operator;
pub use options::DeploymentOptions;
pub use running::Deployment;
