//! The agent daemon.

use std::process::ExitCode;

use arbutus_io::{
    agent,
    daemon::{self, Daemon},
};
use arbutus_settings::agent::AgentSettings;

fn main() -> ExitCode {
    let this = Daemon {
        name: env!("CARGO_PKG_NAME"),
        version: env!("CARGO_PKG_VERSION"),
        about: "Runs an agent of an arbutusstage deployment.",
        load: AgentSettings::load,
        config_variable: None,
        single_thread: false,
    };
    daemon::launch(&this, agent::run)
}
