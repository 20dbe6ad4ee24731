use std::time::Duration;

use error_stack::{Report, ResultExt};
use lexopt::{Arg, Parser, ValueExt};

use crate::bench_error::BenchError;

pub(super) const HELP: &str = "\
Usage: arbutus-bench data-path [OPTIONS]

Options:
  --seconds N   time of each trial (default 2)
  --trials N    pairs of trials (default 5)
  --bytes N     payload of a datagram (default 1200)
  --agents N    agents the datagrams go to (default 8)";

/// How the data path is measured.
#[derive(Debug)]
pub(super) struct Options {
    /// Time of each trial.
    pub(super) time: Duration,
    /// Pairs of trials.
    pub(super) trials: usize,
    /// Payload of a datagram, in bytes.
    pub(super) bytes: usize,
    /// Agents the datagrams go to.
    pub(super) agents: usize,
}

impl Options {
    /// Reads the options; `None` where help is asked for.
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
