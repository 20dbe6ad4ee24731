use std::time::Duration;

use error_stack::{Report, ResultExt};
use lexopt::{Arg, Parser, ValueExt};

use crate::bench_error::BenchError;

/// Text that `--help` prints.
pub(super) const HELP: &str = "\
Usage: arbutus-bench data-path [OPTIONS]

Options:
  --seconds N   duration of each trial (default 2)
  --trials N    number of trial pairs (default 5)
  --bytes N     payload of a datagram in bytes (default 1200)
  --agents N    number of agents that receive the datagrams (default 8)";

/// Parsed command line.
#[derive(Debug)]
pub(super) struct Options {
    /// Duration of each trial.
    pub(super) time: Duration,
    /// Number of trial pairs: one trial of the relay and one of the balancer.
    pub(super) trials: usize,
    /// Payload of a datagram, in bytes.
    pub(super) bytes: usize,
    /// Number of agents that receive the datagrams.
    pub(super) agents: usize,
}

impl Options {
    /// Parses the command line. Returns `None` if help is requested.
    pub(super) fn parse(parser: &mut Parser) -> Result<Option<Self>, Report<BenchError>> {
        let mut options = Self {
            time: Duration::from_secs(2),
            trials: 5,
            bytes: 1_200,
            agents: 8,
        };
        while let Some(arg) = parser.next().change_context(BenchError::Usage)? {
            match arg {
                Arg::Long("seconds") => options.time = Duration::from_secs(number(parser)?),
                Arg::Long("trials") => options.trials = number(parser)?,
                Arg::Long("bytes") => options.bytes = number(parser)?,
                Arg::Long("agents") => options.agents = number(parser)?,
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                other => {
                    return Err(Report::new(other.unexpected()).change_context(BenchError::Usage));
                }
            }
        }
        Ok(Some(options))
    }
}

fn number<T>(parser: &mut Parser) -> Result<T, Report<BenchError>>
where
    T: std::str::FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    parser
        .value()
        .and_then(|value| value.parse())
        .change_context(BenchError::Usage)
}
