//! Throughput of the balancer's data path, compared with a relay that makes no decisions.
//!
//! Both receive the same datagrams from the same sender over loopback, in alternating trials, with
//! one worker each and the same batched socket calls. The relay strips the fabric header and
//! forwards the payload. The balancer makes a forwarding decision and prepends its own header with
//! an authentication code.

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
/// Returns an error for an unknown option, or if a socket operation fails.
pub fn run(parser: &mut Parser) -> Result<(), Report<BenchError>> {
    let Some(options) = options::Options::parse(parser)? else {
        println!("{}", options::HELP);
        return Ok(());
    };
    trial::compare(&options)
}
