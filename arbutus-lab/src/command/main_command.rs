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
  demo     a small deployment that serves requests, and what happened
  run      an experiment on real processes, judged afterwards
  report   plots of a run
  baseline the whole path beside the backend servers themselves
  fabric   sprays callers' datagrams over the balancers
  backend  a backend server over HTTP/1.1
  caller   makes load over HTTP/3 and writes down what callers are told
  store    the platform's key-value service

Options:
  -h, --help     prints this text; after a command, the command's own
      --version  prints the version
";

/// Runs the command line `args` and tells the exit code: 0 done, 1 failed or a promise was broken,
/// 2 the command line cannot be understood.
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

/// Prints what a stand-in's starter must know, as one line of JSON.
pub(super) fn announce(addresses: &impl serde::Serialize) {
    println!("{}", serde_json::json!(addresses));
}
