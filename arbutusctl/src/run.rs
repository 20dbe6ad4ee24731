use std::{ffi::OsString, process::ExitCode};

use arbutus_settings::findings::{Finding, Findings};
use error_stack::{AttachmentKind, FrameKind, Report};
use serde_json::json;

use crate::{
    CtlError, ExitStatus,
    command::{self, Command},
    help,
    options::{Invocation, Options, parse},
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
    print!("{text}");
    ExitCode::SUCCESS
}

fn run(command: Command, options: &Options) -> Result<ExitStatus, Report<CtlError>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Report::new(error).change_context(CtlError::File))?;
    runtime.block_on(command::run(command, options))
}

/// Tells why a command failed: findings line by line, or the causes in one line.
fn fail(report: &Report<CtlError>, json: bool) -> ExitStatus {
    let findings: Vec<&Finding> = report
        .frames()
        .filter_map(|frame| frame.downcast_ref::<Findings>())
        .flat_map(Findings::iter)
        .collect();
    if json {
        let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
        println!("{}", json!({ "error": causes(report), "findings": lines }));
    } else if findings.is_empty() {
        eprintln!("arbutusctl: {}", causes(report));
    } else {
        for finding in &findings {
            eprintln!("{finding}");
        }
        eprintln!("arbutusctl: {} findings", findings.len());
    }
    report.current_context().status()
}

/// The contexts and printable attachments of a report, the outermost first.
fn causes(report: &Report<CtlError>) -> String {
    let parts = report.frames().filter_map(|frame| match frame.kind() {
        FrameKind::Context(context) => Some(context.to_string()),
        FrameKind::Attachment(AttachmentKind::Printable(it)) => {
            let findings = frame.is::<Findings>();
            (!findings).then(|| it.to_string())
        }
        FrameKind::Attachment(_) => None,
    });
    parts.collect::<Vec<_>>().join(": ")
}
