//! What the balancer's data path carries, beside a relay that decides nothing.
//!
//! Both take the same datagrams from the same sender in the same order of trials, over loopback,
//! with one worker each and the same batched socket calls. The relay strips the fabric's header
//! and sends the payload on; the balancer decides, and puts its own header with its code before it.

mod bare_relay;
mod load;
mod options;
mod trial;

use error_stack::Report;
use lexopt::Parser;

use crate::bench_error::BenchError;

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Fails on an unknown option, or where a socket cannot be used.
pub fn run(parser: &mut Parser) -> Result<(), Report<BenchError>> {
    let Some(options) = options::Options::parse(parser)? else {
        println!("{}", options::HELP);
        return Ok(());
    };
    trial::compare(&options)
}
