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

/// Exit code of a daemon that could not start or failed.
const EXIT_FAILED: u8 = 1;

/// Exit code of a wrong command line or invalid settings.
const EXIT_USAGE: u8 = 2;

/// Maximum time that an ending process waits for its last log lines to be written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The properties of a daemon.
#[derive(Debug, Clone, Copy)]
pub struct Daemon<S> {
    /// The program's name.
    pub name: &'static str,
    /// The program's version.
    pub version: &'static str,
    /// The purpose of the program, in one sentence.
    pub about: &'static str,
    /// Loads and checks the settings.
    pub load: fn(&Path) -> Result<S, Report<SettingsError>>,
    /// Environment variable that names the settings file if the command line does not.
    pub config_variable: Option<&'static str>,
    /// Whether all tasks run on a single thread.
    pub single_thread: bool,
}

/// Executes the command on the process's command line. `run` is the daemon itself.
pub fn launch<S, E, F>(daemon: &Daemon<S>, run: impl FnOnce(S) -> F) -> ExitCode
where
    E: std::fmt::Debug,
    F: Future<Output = Result<(), E>>,
{
    launch_with(lexopt::Parser::from_env(), daemon, run)
}

/// Executes the command that the remaining arguments of `parser` form. `run` is the daemon itself.
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
  --check-config   check the settings and the files they name, then exit
  --help           show this text
  --version        show the version

Exit codes: 0 success, 1 failure, 2 wrong usage or invalid settings.
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
    telemetry::flush(LOG_FLUSH_TIMEOUT);
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
