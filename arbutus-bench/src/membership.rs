//! The control plane: many real machines in one process, with a small in-memory delivery.

mod conditions;
mod fleet;
mod fleet_plan;
mod full_size;
mod measure;
mod meter;
mod network;
mod options;
mod report;
mod store;

use error_stack::Report;
use lexopt::Parser;

use crate::bench_error::BenchError;

/// Runs the measurement that the command line describes.
///
/// # Errors
///
/// Fails where the command line is not understood.
pub fn run(parser: &mut Parser) -> Result<(), Report<BenchError>> {
    let Some(options) = options::Options::parse(parser)? else {
        println!("{}", options::HELP);
        return Ok(());
    };
    let report = measure::run(&options);
    print!("{report}");
    Ok(())
}
