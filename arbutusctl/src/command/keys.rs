use std::{
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

use arbutus_settings::key_set::{KeySet, KeySetError, RotationStep};
use error_stack::Report;

use crate::{CtlError, ExitStatus, options::Options, output};

/// Creates, extends or rotates a key set.
pub(super) fn run(options: &Options) -> Result<ExitStatus, Report<CtlError>> {
    let words: Vec<_> = options.arguments.iter().map(String::as_str).collect();
    let services: Vec<_> = options.services.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["init", folder] => init(Path::new(folder), &services),
        ["add", folder] if !services.is_empty() => add(Path::new(folder), &services),
        ["rotate", folder, step] => match RotationStep::parse(step) {
            Some(step) => rotate(Path::new(folder), step),
            None => Err(usage("the step must be add, use or drop")),
        },
        _ => Err(usage("keys takes init, add or rotate, and a folder")),
    }
}

fn init(folder: &Path, services: &[&str]) -> Result<ExitStatus, Report<CtlError>> {
    KeySet::create(folder, services, now_unix_s()).map_err(keys_error)?;
    output::line(format_args!("created a key set in {}", folder.display()));
    Ok(ExitStatus::Done)
}

fn add(folder: &Path, services: &[&str]) -> Result<ExitStatus, Report<CtlError>> {
    let set = KeySet::open(folder, now_unix_s());
    for service in services {
        set.add_service(service).map_err(keys_error)?;
        output::line(format_args!("issued a certificate for {service}"));
    }
    Ok(ExitStatus::Done)
}

fn rotate(folder: &Path, step: RotationStep) -> Result<ExitStatus, Report<CtlError>> {
    let set = KeySet::open(folder, now_unix_s());
    set.rotate(step).map_err(keys_error)?;
    output::line(format_args!("{}", instructions_after(step)));
    Ok(ExitStatus::Done)
}

/// Returns the instructions that follow a rotation step.
const fn instructions_after(step: RotationStep) -> &'static str {
    match step {
        RotationStep::Add => {
            "a new key and authority are accepted; copy keys.jsonc, system-*.key and ca.pem to \
             every node and ca.pem to every caller, restart the nodes one by one, then run \
             `rotate use`"
        }
        RotationStep::Use => {
            "the new key and authority are in use; copy keys.jsonc and the certificates to every \
             node, restart the nodes one by one, wait until old flows have ended, then run \
             `rotate drop`"
        }
        RotationStep::Drop => {
            "the old key and authority are dropped; copy keys.jsonc and ca.pem to every node, and \
             restart the nodes one by one"
        }
    }
}

fn keys_error(report: Report<KeySetError>) -> Report<CtlError> {
    report.change_context(CtlError::Keys)
}

fn usage(message: &'static str) -> Report<CtlError> {
    Report::new(CtlError::Usage).attach(message)
}

fn now_unix_s() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch
        .map(|duration| duration.as_secs())
        .unwrap_or_default()
}
