use std::time::Duration;

use error_stack::{Report, ResultExt};
use lexopt::{Arg, Parser, ValueExt};
use serde::Serialize;

use super::{Comparison, Section};
use crate::bench_error::BenchError;

const HELP: &str = "\
Usage: arbutus-bench policy [OPTIONS]

Places flows on simulated backend servers with several strategies and compares the figures.

Options:
  --seed K     seed of all random choices [default: 1]
  --quick      simulate 200 s instead of 2000 s for each run
  --json       print one JSON object instead of tables
  -h, --help   print this help";

/// Simulated time of a run.
const RUN_DURATION: Duration = Duration::from_secs(2_000);
/// Simulated time of a run with `--quick`.
const QUICK_RUN_DURATION: Duration = Duration::from_secs(200);

/// Parsed command line.
#[derive(Debug, Clone, Copy)]
struct Options {
    seed: u64,
    duration: Duration,
    json: bool,
}

/// All figures, as printed with `--json`.
#[derive(Debug, Serialize)]
struct Measured {
    seed: u64,
    simulated_s: u64,
    comparisons: Vec<Comparison>,
}

/// Runs the measurement that the command line describes.
///
/// # Errors
///
/// Returns an error if the command line is invalid, or if the figures cannot be encoded.
pub fn run(parser: &mut Parser) -> Result<(), Report<BenchError>> {
    let Some(options) = parse(parser).change_context(BenchError::Usage)? else {
        println!("{HELP}");
        return Ok(());
    };
    if options.json {
        return print_json(options);
    }
    let seconds = options.duration.as_secs();
    println!("Seed {}, {seconds} s simulated for each run.", options.seed);
    for section in Section::all(options.duration, options.seed) {
        println!("\n## {}", section.title);
        for scenario in &section.scenarios {
            println!("\n{}", Comparison::run(scenario, &section.strategies));
        }
    }
    Ok(())
}

/// Parses the command line. Returns `None` if help is requested.
fn parse(parser: &mut Parser) -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options {
        seed: 1,
        duration: RUN_DURATION,
        json: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("quick") => options.duration = QUICK_RUN_DURATION,
            Arg::Long("json") => options.json = true,
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(options))
}

fn print_json(options: Options) -> Result<(), Report<BenchError>> {
    let sections = Section::all(options.duration, options.seed);
    let comparisons = sections.iter().flat_map(|section| {
        let strategies = &section.strategies;
        section
            .scenarios
            .iter()
            .map(|scenario| Comparison::run(scenario, strategies))
    });
    let measured = Measured {
        seed: options.seed,
        simulated_s: options.duration.as_secs(),
        comparisons: comparisons.collect(),
    };
    let text = serde_json::to_string_pretty(&measured).change_context(BenchError::Failed)?;
    println!("{text}");
    Ok(())
}
