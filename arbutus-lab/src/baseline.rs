//! Compares the latency through balancers and agents with the latency of direct requests to the
//! backend servers.

mod comparison;
mod direct_load;
mod run;

pub use comparison::{Comparison, Latency};
pub use run::run;
