//! The whole path beside callers that talk to the backend servers' own addresses.

mod comparison;
mod direct_load;
mod run;

pub use comparison::{Comparison, Latency};
pub use run::run;
