use std::{fs, path::PathBuf, process::ExitCode};

use error_stack::{Report, ResultExt};

use super::args::{Args, Argument, unexpected_argument};
use crate::{error::LabError, experiment::Outcome, report};

const HELP: &str = "\
Plots a run saved by `arbutus-lab run --save`: in-flight requests, latency, outcomes and events.

Usage: arbutus-lab report RUN.json OUT.html
       arbutus-lab report RUN.json OUT.svg
";

/// Runs `arbutus-lab report`.
pub(super) fn run(mut args: Args) -> Result<ExitCode, Report<LabError>> {
    let mut paths = Vec::new();
    while let Some(argument) = args.next()? {
        match argument {
            Argument::Positional(path) => paths.push(PathBuf::from(path)),
            Argument::Long(name) if name == "help" => {
                print!("{HELP}");
                return Ok(ExitCode::SUCCESS);
            }
            Argument::Long(_) => return Err(unexpected_argument(&argument)),
        }
    }
    let [run, out] = &paths[..] else {
        return Err(Report::new(LabError::Usage(HELP.to_owned())));
    };
    let text = fs::read(run)
        .change_context(LabError::File)
        .attach_with(|| run.display().to_string())?;
    let outcome: Outcome = serde_json::from_slice(&text).change_context(LabError::File)?;
    let drawn = if out.extension().is_some_and(|it| it == "svg") {
        report::svg(&outcome)?
    } else {
        report::html(&outcome)?
    };
    fs::write(out, drawn)
        .change_context(LabError::File)
        .attach_with(|| out.display().to_string())?;
    Ok(ExitCode::SUCCESS)
}
