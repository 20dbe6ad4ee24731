//! The balancer daemon.

mod arguments;

use std::process::ExitCode;

use arbutus_io::{balancer, telemetry};
use arbutus_settings::{SettingsError, balancer::BalancerSettings};
use arguments::{Arguments, Command};

const USAGE: &str = "\
Runs a balancer of an arbutusstage deployment.

Usage: arbutus-balancer --config FILE [--check-config]

Options:
  --config FILE    settings, JSON with comments
  --check-config   check the settings and the files they name, then end
  --help           show this text
  --version        show the version

Exit codes: 0 ended as asked, 1 failed, 2 wrong usage or settings.
The environment variable ARBUTUS_LOG sets the log filter (default: info).
";

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments = match Arguments::parse(lexopt::Parser::from_env()) {
        Ok(arguments) => arguments,
        Err(err) => {
            eprintln!("arbutus-balancer: {err}\n\n{USAGE}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match arguments.command {
        Command::Help => {
            print!("{USAGE}");
            ExitCode::SUCCESS
        }
        Command::Version => {
            println!("arbutus-balancer {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::Check(path) => match BalancerSettings::load(&path) {
            Ok(_) => {
                println!("{}: ok", path.display());
                ExitCode::SUCCESS
            }
            Err(report) => settings_failed(&report),
        },
        Command::Run(path) => match BalancerSettings::load(&path) {
            Ok(settings) => run(settings),
            Err(report) => settings_failed(&report),
        },
    }
}

fn settings_failed(report: &error_stack::Report<SettingsError>) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(EXIT_USAGE)
}

fn run(settings: BalancerSettings) -> ExitCode {
    telemetry::init();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            tracing::error!(%err, "runtime_failed");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    match runtime.block_on(balancer::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            tracing::error!(error = ?report, "start_failed");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
