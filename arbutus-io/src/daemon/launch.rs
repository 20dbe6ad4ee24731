use std::{
    future::Future,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use arbutus_settings::SettingsError;
use error_stack::Report;
use tokio::runtime;

use super::command::Command;
use crate::telemetry;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// How long a process that ends waits for its last log lines to be read.
const LAST_LINES: Duration = Duration::from_millis(200);

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
    /// Environment variable with the settings file where the command line names none.
    pub config_variable: Option<&'static str>,
    /// Whether all tasks share one thread.
    pub single_thread: bool,
}

/// Does what the process's command line asks for; `run` is the daemon itself.
pub fn launch<S, E, F>(daemon: &Daemon<S>, run: impl FnOnce(S) -> F) -> ExitCode
where
    E: std::fmt::Debug,
    F: Future<Output = Result<(), E>>,
{
    launch_with(lexopt::Parser::from_env(), daemon, run)
}

/// Does what the rest of a command line asks for; `run` is the daemon itself.
pub fn launch_with<S, E, F>(
    parser: lexopt::Parser,
    daemon: &Daemon<S>,
    run: impl FnOnce(S) -> F,
) -> ExitCode
where
    E: std::fmt::Debug,
    F: Future<Output = Result<(), E>>,
{
    let default = daemon.config_variable.and_then(std::env::var_os);
    let command = match Command::parse(parser, default.map(PathBuf::from)) {
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
            Ok(settings) => return block_on(daemon.single_thread, run(settings)),
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

fn block_on<E: std::fmt::Debug>(
    single_thread: bool,
    running: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    telemetry::init();
    let mut builder = if single_thread {
        runtime::Builder::new_current_thread()
    } else {
        runtime::Builder::new_multi_thread()
    };
    let code = match builder.enable_all().build() {
        Ok(runtime) => run_to_end(&runtime, running),
        Err(err) => {
            tracing::error!(%err, "runtime_failed");
            ExitCode::from(EXIT_FAILED)
        }
    };
    telemetry::flush(LAST_LINES);
    code
}

fn run_to_end<E: std::fmt::Debug>(
    runtime: &runtime::Runtime,
    running: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    match runtime.block_on(running) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(?error, "start_failed");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
