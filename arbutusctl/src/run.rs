use std::{ffi::OsString, process::ExitCode};

use error_stack::Report;
use serde_json::json;

use crate::{
    CtlError, ExitStatus,
    command::{self, Command},
    help,
    options::{Invocation, Options, parse},
    output,
};

/// Runs the program with the arguments after its name.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    match parse(args) {
        Ok(Invocation::Help(command)) => print(&help::text(command)),
        Ok(Invocation::Version) => print(&format!("arbutusctl {}\n", env!("CARGO_PKG_VERSION"))),
        Ok(Invocation::Run(command, options)) => {
            let json = options.json;
            let result = run(command, &options);
            result.unwrap_or_else(|report| fail(&report, json)).into()
        }
        Err(report) => fail(&report, false).into(),
    }
}

fn print(text: &str) -> ExitCode {
    output::text(text);
    ExitCode::SUCCESS
}

fn run(command: Command, options: &Options) -> Result<ExitStatus, Report<CtlError>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Report::new(error).change_context(CtlError::File))?;
    runtime.block_on(command::run(command, options))
}

/// Prints why a command failed and returns the exit status.
fn fail(report: &Report<CtlError>, json: bool) -> ExitStatus {
    let text = arbutus_settings::describe(report);
    let findings = arbutus_settings::findings(report);
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    if json {
        output::line(json!({ "error": text, "findings": lines }));
    } else if lines.is_empty() {
        eprintln!("arbutusctl: {text}");
    } else {
        eprintln!("{text}\narbutusctl: {} findings", lines.len());
    }
    report.current_context().status()
}
