//! How new flows and their requests are spread: ways of placing them, compared side by side.
//!
//! Every run places the flows of one service on small fakes of its backend servers. The product's
//! own decisions are the real ones: [`arbutus_core::route`] and [`arbutus_core::flow`].

use error_stack::Report;
use lexopt::Parser;

use crate::bench_error::BenchError;

/// Runs the measurement that the command line describes.
///
/// # Errors
///
/// Fails where the command line is not understood.
pub fn run(_parser: &mut Parser) -> Result<(), Report<BenchError>> {
    Ok(())
}
