use error_stack::{Report, ResultExt};
use lexopt::{Arg, Parser, ValueExt};

use crate::bench_error::BenchError;

/// Text that `--help` prints.
pub(super) const HELP: &str = "\
Usage: arbutus-bench configuration [OPTIONS]

Options:
  --services N  measure with this number of services only [default: 2, 100, 1000 and 5800]
  --json        print one JSON object per line";

/// Parsed command line.
#[derive(Debug)]
pub(super) struct Options {
    /// Numbers of services to measure with.
    pub(super) services: Vec<usize>,
    /// Whether figures are printed as JSON.
    pub(super) json: bool,
}

impl Options {
    /// Parses the command line. Returns `None` if help is requested.
    pub(super) fn parse(parser: &mut Parser) -> Result<Option<Self>, Report<BenchError>> {
        let mut options = Self {
            services: vec![2, 100, 1_000, 5_800],
            json: false,
        };
        while let Some(arg) = parser.next().change_context(BenchError::Usage)? {
            match arg {
                Arg::Long("services") => {
                    let value = parser.value().change_context(BenchError::Usage)?;
                    options.services = vec![value.parse().change_context(BenchError::Usage)?];
                }
                Arg::Long("json") => options.json = true,
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                other => {
                    return Err(Report::new(other.unexpected()).change_context(BenchError::Usage));
                }
            }
        }
        Ok(Some(options))
    }
}
