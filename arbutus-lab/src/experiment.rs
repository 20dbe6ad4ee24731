//! Experiments: a deployment under load, with scheduled events and a verdict at the end.

mod config_watch;
mod control_sampler;
mod experiment_options;
mod findings;
mod load;
mod run;
mod step;
mod timeline;

pub use experiment_options::ExperimentOptions;
pub use findings::{Findings, Outcome};
pub use run::run;
