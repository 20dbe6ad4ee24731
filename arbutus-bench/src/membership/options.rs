use error_stack::{Report, ResultExt};
use lexopt::{Arg, Parser, ValueExt};

use crate::bench_error::BenchError;

/// The page that `--help` prints.
pub const HELP: &str = "\
Usage: arbutus-bench membership [OPTIONS]

Runs the control machines of balancers and agents in one process and prints what they sent, how
long changes took, and what one balancer of the planned size holds.

Options:
      --balancers N   balancers (default 200)
      --agents N      agents (default 1080)
      --services N    services (default 190)
      --seed K        seed of all random choices (default 1)
      --loss N        messages lost between failure domains, per mille (default 10)
      --parted N      seconds for which a region is parted (default 60)
      --only PART     fleet or full-size (default both)
  -h, --help          print this page";

/// Which parts are measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// All of them.
    Both,
    /// Many machines.
    Fleet,
    /// One balancer of the planned size.
    FullSize,
}

/// What the command line asks for.
#[derive(Debug, Clone)]
pub struct Options {
    /// Balancers.
    pub balancers: usize,
    /// Agents.
    pub agents: usize,
    /// Services.
    pub services: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// Messages lost between failure domains, per mille.
    pub loss_per_mille: u32,
    /// Seconds for which a region is parted.
    pub parted_s: u64,
    /// Which parts are measured.
    pub part: Part,
}

impl Options {
    /// Reads the command line; nothing where the page of help is asked for.
    ///
    /// # Errors
    ///
    /// Fails where an option is unknown or has no number.
    pub fn parse(parser: &mut Parser) -> Result<Option<Self>, Report<BenchError>> {
        let mut options = Self {
            balancers: 200,
            agents: 1_080,
            services: 190,
            seed: 1,
            loss_per_mille: 10,
            parted_s: 60,
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
                Arg::Long("parted") => options.parted_s = number(parser)?,
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
        _ => Err(Report::new(BenchError::Usage).attach("parts are fleet and full-size")),
    }
}
