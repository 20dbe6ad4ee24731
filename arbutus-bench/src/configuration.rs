//! What the operator's configuration costs as services grow: files, store and commit.
//!
//! Each size is a folder of one file a service, with words on one backend server in ten. It is
//! loaded, committed to a store in memory, changed in one setting and committed again.

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
/// Fails on an unknown option, or where a folder cannot be written.
pub fn run(parser: &mut Parser) -> Result<(), Report<BenchError>> {
    let Some(options) = options::Options::parse(parser)? else {
        println!("{}", options::HELP);
        return Ok(());
    };
    sizes::measure(&options)
}
