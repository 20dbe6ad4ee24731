//! Cost of the operator's configuration as the number of services grows.
//!
//! Each size is a folder with one file per service, which configures one of its backend servers.
//! The folder is loaded and committed to an in-memory store, then one setting is changed and the
//! configuration is committed again.

mod options;
mod sizes;
mod store;

use error_stack::Report;
use lexopt::Parser;

use crate::bench_error::BenchError;

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Returns an error for an unknown option, or if the folder cannot be written or loaded.
pub fn run(parser: &mut Parser) -> Result<(), Report<BenchError>> {
    let Some(options) = options::Options::parse(parser)? else {
        println!("{}", options::HELP);
        return Ok(());
    };
    sizes::measure(&options)
}
