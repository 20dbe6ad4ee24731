//! The balancer daemon.

use std::process::ExitCode;

use arbutus_io::{
    balancer,
    daemon::{self, Daemon},
};
use arbutus_settings::balancer::BalancerSettings;

fn main() -> ExitCode {
    let this = Daemon {
        name: env!("CARGO_PKG_NAME"),
        version: env!("CARGO_PKG_VERSION"),
        about: "Runs a balancer of an arbutusstage deployment.",
        load: BalancerSettings::load,
        config_variable: None,
        single_thread: false,
    };
    daemon::launch(&this, balancer::run)
}
