use std::{process::ExitCode, time::Duration};

use error_stack::{Report, ResultExt};

use super::args::{Args, Argument, unexpected_argument};
use crate::{baseline, deployment::Binaries, error::LabError, experiment::ExperimentOptions};

const HELP: &str = "\
Puts the same load of repeatable requests on the whole path and on the backend servers' own
addresses, one after the other, and prints the latencies as one JSON object.

Usage: arbutus-lab baseline [OPTIONS]

Options:
  --callers N   callers, each with a session of its own [70]
  --rate R      requests each second, by default half of what 7 backend servers with 5 slots and
                20 ms of mean service time take [875]
  --seconds S   how long each load lasts [10]
  --seed K      seed of the random choices [0]
";

/// Callers where the command line names no number.
const DEFAULT_CALLERS: u32 = 70;
/// Requests each second at half load.
const DEFAULT_RATE: u32 = 875;

pub(super) async fn run(mut args: Args) -> Result<ExitCode, Report<LabError>> {
    let mut options = ExperimentOptions::new("tahsis-canli");
    options.callers = DEFAULT_CALLERS;
    options.rate = DEFAULT_RATE;
    while let Some(flag) = args.next()? {
        let Argument::Long(name) = &flag else {
            return Err(unexpected_argument(&flag));
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
            _ => return Err(unexpected_argument(&flag)),
        }
    }
    let binaries = Binaries::find_beside_current_exe()?;
    let comparison = baseline::run(binaries, &options).await?;
    let text = serde_json::to_string_pretty(&comparison).change_context(LabError::File)?;
    println!("{text}");
    Ok(ExitCode::SUCCESS)
}
