//! Traffic, convergence and cost of the control plane.
//!
//! The control state machines of many balancers and agents run in one process, on simulated time
//! and with a simulated network between them.

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
/// Returns an error if the command line is invalid.
pub fn run(parser: &mut Parser) -> Result<(), Report<BenchError>> {
    let Some(options) = options::Options::parse(parser)? else {
        println!("{}", options::HELP);
        return Ok(());
    };
    let report = measure::run(&options);
    print!("{report}");
    Ok(())
}
