use std::time::Duration;

use error_stack::{Report, ResultExt};
use lexopt::{Arg, Parser, ValueExt};

use crate::bench_error::BenchError;

/// Text that `--help` prints.
pub(super) const HELP: &str = "\
Usage: arbutus-bench requests [OPTIONS]

Options:
  --seed N      seed of all random choices (default 1)
  --seconds N   simulated seconds per table row (default 120)
  -h, --help    print this help";

/// Parsed command line.
#[derive(Debug, Clone, Copy)]
pub(super) struct Options {
    /// Seed of all random choices.
    pub(super) seed: u64,
    /// Simulated seconds of each table row.
    pub(super) seconds: u64,
}

impl Options {
    /// Parses the command line. Returns `None` if help is requested.
    pub(super) fn parse(parser: &mut Parser) -> Result<Option<Self>, Report<BenchError>> {
        let mut options = Self {
            seed: 1,
            seconds: 120,
        };
        while let Some(arg) = parser.next().change_context(BenchError::Usage)? {
            match arg {
                Arg::Short('h') | Arg::Long("help") => return Ok(None),
                Arg::Long("seed") => options.seed = number(parser)?,
                Arg::Long("seconds") => options.seconds = number(parser)?,
                other => {
                    return Err(Report::new(other.unexpected()).change_context(BenchError::Usage));
                }
            }
        }
        Ok(Some(options))
    }

    /// Returns the simulated time of each table row.
    pub(super) const fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }
}

fn number(parser: &mut Parser) -> Result<u64, Report<BenchError>> {
    parser
        .value()
        .and_then(|value| value.parse())
        .change_context(BenchError::Usage)
}
