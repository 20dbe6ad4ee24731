//! What the daemons' `main` functions share: command line, exit codes, runtime.

mod command;
mod launch;

pub use launch::{Daemon, launch, launch_with};
