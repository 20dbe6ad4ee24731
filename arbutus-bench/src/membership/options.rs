use error_stack::{Report, ResultExt};
use lexopt::{Arg, Parser, ValueExt};

use crate::bench_error::BenchError;

/// Text that `--help` prints.
pub const HELP: &str = "\
Usage: arbutus-bench membership [OPTIONS]

Runs the control state machines of balancers and agents in one process. Prints their traffic, the
time that changes take, and the memory and processor time of one balancer at the planned size.

Options:
      --balancers N   number of balancers (default 200)
      --agents N      number of agents (default 1080)
      --services N    number of services (default 190)
      --seed K        seed of all random choices (default 1)
      --loss N        messages lost between failure domains, per mille (default 10)
      --parted N      seconds for which a region is partitioned (default 60)
      --only PART     measure only this part: fleet or full-size (default both)
  -h, --help          print this help";

/// Parts to measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Both parts.
    Both,
    /// A fleet of many members.
    Fleet,
    /// One balancer of the planned size.
    FullSize,
}

/// Parsed command line.
#[derive(Debug, Clone)]
pub struct Options {
    /// Number of balancers.
    pub balancers: usize,
    /// Number of agents.
    pub agents: usize,
    /// Number of services.
    pub services: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// Messages lost between failure domains, per mille.
    pub loss_per_mille: u32,
    /// Simulated seconds for which a region is partitioned.
    pub partition_s: u64,
    /// Parts to measure.
    pub part: Part,
}

impl Options {
    /// Parses the command line. Returns `None` if help is requested.
    ///
    /// # Errors
    ///
    /// Returns an error for an unknown option or an invalid value.
    pub fn parse(parser: &mut Parser) -> Result<Option<Self>, Report<BenchError>> {
        let mut options = Self {
            balancers: 200,
            agents: 1_080,
            services: 190,
            seed: 1,
            loss_per_mille: 10,
            partition_s: 60,
            part: Part::Both,
        };
        while let Some(arg) = parser.next().change_context(BenchError::Usage)? {
            match arg {
                Arg::Short('h') | Arg::Long("help") => return Ok(None),
                Arg::Long("balancers") => options.balancers = number(parser)?,
                Arg::Long("agents") => options.agents = number(parser)?,
                Arg::Long("services") => options.services = number(parser)?,
                Arg::Long("seed") => options.seed = number(parser)?,
                Arg::Long("loss") => options.loss_per_mille = number(parser)?,
                Arg::Long("parted") => options.partition_s = number(parser)?,
                Arg::Long("only") => options.part = part(parser)?,
                other => {
                    return Err(Report::new(other.unexpected()).change_context(BenchError::Usage));
                }
            }
        }
        Ok(Some(options))
    }
}

fn number<T: std::str::FromStr>(parser: &mut Parser) -> Result<T, Report<BenchError>>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let value = parser.value().change_context(BenchError::Usage)?;
    value.parse().change_context(BenchError::Usage)
}

fn part(parser: &mut Parser) -> Result<Part, Report<BenchError>> {
    let value = parser.value().change_context(BenchError::Usage)?;
    match value.to_str() {
        Some("fleet") => Ok(Part::Fleet),
        Some("full-size") => Ok(Part::FullSize),
        _ => {
            Err(Report::new(BenchError::Usage)
                .attach("the value of --only must be fleet or full-size"))
        }
    }
}
