//! Measurements of arbutusstage. Each module is a subcommand of `arbutus-bench`.

pub mod bench_error;
pub mod configuration;
pub mod data_path;
pub mod membership;
pub mod policy;
pub mod requests;
