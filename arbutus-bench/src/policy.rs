//! How new flows and their requests are spread: ways of placing them, compared side by side.
//!
//! Every run places the flows of one service on small fakes of its backend servers. The product's
//! own decisions are the real ones: [`arbutus_core::route`] and [`arbutus_core::flow`].

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
