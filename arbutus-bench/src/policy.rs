//! Comparison of strategies that place new flows and their requests.
//!
//! Every run places the flows of one service on simulated backend servers. Forwarding and flow
//! admission are not simulated: runs call [`arbutus_core::route`] and [`arbutus_core::flow`].

mod command;
mod comparison;
mod event_queue;
mod fleet;
mod node;
mod outcome;
mod placement;
mod requests;
mod scenario;
mod section;
mod strategy;
mod workload;

pub use command::run;
pub use comparison::{Comparison, Row};
pub use fleet::run as run_scenario;
pub use outcome::Outcome;
pub use scenario::{Fault, Scenario};
pub use section::Section;
pub use strategy::{ReportLinks, RequestPlacement, Strategy};
pub use workload::Workload;
