//! The common parts of the daemons' `main` functions: command line, exit codes and runtime.

mod command;
mod launch;

pub use launch::{Daemon, launch, launch_with};
