use std::{future::Future, path::Path, process::ExitCode};

use arbutus_settings::SettingsError;
use error_stack::Report;

use super::command::Command;
use crate::telemetry;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// What tells one daemon from another.
#[derive(Debug, Clone, Copy)]
pub struct Daemon<S> {
    /// The program's name.
    pub name: &'static str,
    /// Its version.
    pub version: &'static str,
    /// What it does, in one sentence.
    pub about: &'static str,
    /// Loads and checks its settings.
    pub load: fn(&Path) -> Result<S, Report<SettingsError>>,
}

/// Does what the process's command line asks for; `run` is the daemon itself.
pub fn launch<S, E, F>(daemon: &Daemon<S>, run: impl FnOnce(S) -> F) -> ExitCode
where
    E: std::fmt::Debug,
    F: Future<Output = Result<(), E>>,
{
    let command = match Command::parse(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(err) => {
            eprintln!("{}: {err}\n\n{}", daemon.name, usage(daemon));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match command {
        Command::Help => println!("{}", usage(daemon)),
        Command::Version => println!("{} {}", daemon.name, daemon.version),
        Command::Check(path) => match (daemon.load)(&path) {
            Ok(_) => println!("{}: ok", path.display()),
            Err(report) => return settings_failed(&report),
        },
        Command::Run(path) => match (daemon.load)(&path) {
            Ok(settings) => return block_on(run(settings)),
            Err(report) => return settings_failed(&report),
        },
    }
    ExitCode::SUCCESS
}

fn usage<S>(daemon: &Daemon<S>) -> String {
    let Daemon { name, about, .. } = daemon;
    format!(
        "\
{about}

Usage: {name} --config FILE [--check-config]

Options:
  --config FILE    settings, JSON with comments
  --check-config   check the settings and the files they name, then end
  --help           show this text
  --version        show the version

Exit codes: 0 ended as asked, 1 failed, 2 wrong usage or settings.
The environment variable {} sets the log filter (default: info).",
        telemetry::LOG_FILTER_VARIABLE
    )
}

fn settings_failed(report: &Report<SettingsError>) -> ExitCode {
    eprintln!("{}", arbutus_settings::describe(report));
    ExitCode::from(EXIT_USAGE)
}

fn block_on<E: std::fmt::Debug>(running: impl Future<Output = Result<(), E>>) -> ExitCode {
    telemetry::init();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            tracing::error!(%err, "runtime_failed");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    match runtime.block_on(running) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(?error, "start_failed");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
