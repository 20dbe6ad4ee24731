use std::{process::ExitCode, time::Duration};

use error_stack::{Report, ResultExt};

use super::args::{Args, Argument, unexpected_argument};
use crate::{baseline, deployment::Binaries, error::LabError, experiment::ExperimentOptions};

const HELP: &str = "\
Sends the same load of repeatable requests first through the balancers and agents, then directly to
the backend servers, and prints the latencies as one JSON object.

Usage: arbutus-lab baseline [OPTIONS]

Options:
  --callers N   number of callers, each with its own session [70]
  --rate R      requests per second; the default is half the capacity of 7 backend servers with 5
                slots and a mean service time of 20 ms [875]
  --seconds S   duration of each load [10]
  --seed K      seed of the random choices [0]
";

/// Default number of callers.
const DEFAULT_CALLERS: u32 = 70;
/// Default number of requests per second: half the capacity of 7 backend servers with 5 slots and a
/// mean service time of 20 ms.
const DEFAULT_RATE: u32 = 875;

/// Runs `arbutus-lab baseline`.
pub(super) async fn run(mut args: Args) -> Result<ExitCode, Report<LabError>> {
    let mut options = ExperimentOptions::new("tahsis-canli");
    options.callers = DEFAULT_CALLERS;
    options.rate = DEFAULT_RATE;
    while let Some(argument) = args.next()? {
        let Argument::Long(name) = &argument else {
            return Err(unexpected_argument(&argument));
        };
        match name.as_str() {
            "callers" => options.callers = args.value()?,
            "rate" => options.rate = args.value()?,
            "seconds" => options.duration = Duration::from_secs(args.value()?),
            "seed" => options.deployment.seed = args.value()?,
            "help" => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            _ => return Err(unexpected_argument(&argument)),
        }
    }
    let binaries = Binaries::find_beside_current_exe()?;
    let comparison = baseline::run(binaries, &options).await?;
    let text = serde_json::to_string_pretty(&comparison).change_context(LabError::File)?;
    println!("{text}");
    Ok(ExitCode::SUCCESS)
}
