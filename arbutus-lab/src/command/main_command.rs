use std::{ffi::OsString, process::ExitCode};

use error_stack::Report;
use lexopt::{Arg, Parser};

use super::{
    args::Args, backend_command, baseline_command, caller_command, demo_command, fabric_command,
    report_command, run_command, store_command,
};
use crate::error::LabError;

const HELP: &str = "\
Stand-ins and experiments for arbutusstage.

Usage: arbutus-lab COMMAND [OPTIONS]

Commands:
  demo     run a small deployment and print a summary
  run      run an experiment on real processes and print its verdict
  report   plot a run
  baseline compare latency through the balancers with direct requests to the backend servers
  fabric   run a fabric that distributes callers' datagrams over the balancers
  backend  run a backend server over HTTP/1.1
  caller   send requests over HTTP/3 and print the callers' journal
  store    run the platform's key-value service

Options:
  -h, --help     print this help, or the help of the command before it
      --version  print the version
";

/// Runs the command line `args` and returns the exit code.
///
/// The exit code is 0 on success, 1 if the command failed or a guarantee was violated, and 2 if the
/// command line is invalid.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    Report::install_debug_hook::<std::backtrace::Backtrace>(|_, _| {});
    let error = match dispatch(Parser::from_iter(args)) {
        Ok(code) => return code,
        Err(error) => error,
    };
    if let LabError::Usage(text) = error.current_context() {
        eprintln!("arbutus-lab: {text}");
        return ExitCode::from(2);
    }
    eprintln!("arbutus-lab: {error:?}");
    ExitCode::FAILURE
}

/// Runs the subcommand that the command line names.
fn dispatch(mut parser: Parser) -> Result<ExitCode, Report<LabError>> {
    let first = parser
        .next()
        .map_err(|error| Report::new(LabError::Usage(error.to_string())))?;
    let name = match first {
        Some(Arg::Long("version")) => {
            println!("arbutus-lab {}", env!("CARGO_PKG_VERSION"));
            return Ok(ExitCode::SUCCESS);
        }
        Some(Arg::Value(name)) => name,
        Some(Arg::Long("help") | Arg::Short('h')) => {
            print!("{HELP}");
            return Ok(ExitCode::SUCCESS);
        }
        _ => return Err(Report::new(LabError::Usage(HELP.to_owned()))),
    };
    let args = Args::new(parser);
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|error| Report::new(LabError::Process).attach(error))?;
    match name.to_str() {
        Some("fabric") => runtime.block_on(fabric_command::run(args)),
        Some("backend") => runtime.block_on(backend_command::run(args)),
        Some("store") => runtime.block_on(store_command::run(args)),
        Some("demo") => runtime.block_on(demo_command::run(args)),
        Some("report") => report_command::run(args),
        Some("baseline") => runtime.block_on(baseline_command::run(args)),
        Some("run") => runtime.block_on(run_command::run(args)),
        Some("caller") => runtime.block_on(caller_command::run(args)),
        _ => {
            let text = format!("unknown command {}\n{HELP}", name.display());
            Err(Report::new(LabError::Usage(text)))
        }
    }
}

/// Prints `value` as one line of JSON: the addresses of a stand-in that is ready, or a journal.
pub(super) fn announce(value: &impl serde::Serialize) {
    println!("{}", serde_json::json!(value));
}
