//! A stand-in for the network that spreads callers' datagrams over the balancers.

mod fabric_command;
mod fabric_counts;
mod fabric_options;
mod fabric_state;
mod link_faults;
mod relay;

pub use fabric_command::FabricCommand;
pub use fabric_counts::FabricCounts;
pub use fabric_options::FabricOptions;
pub use fabric_state::{Delivery, FabricState};
pub use link_faults::LinkFaults;
pub use relay::{Fabric, FabricAddresses};
