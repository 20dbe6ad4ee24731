//! Developer tasks: `cargo run -p xtask -- TASK`.

mod measure;
mod task_error;

use std::{path::PathBuf, process::ExitCode};

use error_stack::{Report, ResultExt};
use lexopt::{Arg, Parser};
use task_error::TaskError;

const HELP: &str = "\
Usage: cargo run -p xtask -- TASK

Tasks:
  measure [--out DIR]   run all measurements and write the command and figures of each
                        to a file in DIR (default: target/measurements)

Exit codes: 0 success, 1 the task failed, 2 invalid command line";

fn main() -> ExitCode {
    match dispatch(&mut Parser::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            match report.current_context() {
                TaskError::Usage => ExitCode::from(2),
                TaskError::Failed => ExitCode::FAILURE,
            }
        }
    }
}

fn dispatch(parser: &mut Parser) -> Result<(), Report<TaskError>> {
    match parser.next().change_context(TaskError::Usage)? {
        None | Some(Arg::Short('h') | Arg::Long("help")) => println!("{HELP}"),
        Some(Arg::Value(name)) if name == "measure" => {
            let out = parse_output_dir(parser)?;
            return measure::run(&out);
        }
        Some(other) => {
            return Err(Report::new(other.unexpected()).change_context(TaskError::Usage));
        }
    }
    Ok(())
}

/// Parses the options of the `measure` task and returns the output directory.
fn parse_output_dir(parser: &mut Parser) -> Result<PathBuf, Report<TaskError>> {
    let mut out = PathBuf::from("target/measurements");
    while let Some(arg) = parser.next().change_context(TaskError::Usage)? {
        match arg {
            Arg::Long("out") => out = parser.value().change_context(TaskError::Usage)?.into(),
            other => {
                return Err(Report::new(other.unexpected()).change_context(TaskError::Usage));
            }
        }
    }
    Ok(out)
}
