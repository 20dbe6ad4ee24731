//! Effect of the queue bound and the retry budget, and the cost of request admission.
//!
//! The runs use the request state machines of [`arbutus_core::request`]. Backend servers are
//! simulated with exponential service times.

mod admission_cost;
mod fleet;
mod load;
mod options;
mod plain_queue;
mod queue_bound;
mod retry_storm;
mod tally;

use error_stack::Report;
use lexopt::Parser;

use crate::bench_error::BenchError;

/// Runs the measurements and prints their tables.
///
/// # Errors
///
/// Returns an error if the command line is invalid.
pub fn run(parser: &mut Parser) -> Result<(), Report<BenchError>> {
    let Some(options) = options::Options::parse(parser)? else {
        println!("{}", options::HELP);
        return Ok(());
    };
    println!("seed {}, {} s a row", options.seed, options.seconds);
    queue_bound::print(&options);
    retry_storm::print(&options);
    admission_cost::print(&options);
    Ok(())
}
