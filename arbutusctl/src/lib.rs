//! The operator's command line, which checks and applies a folder of files and shows the state of
//! the deployment.
//!
//! [`main`] is the entry point. The exit codes are those of [`ExitStatus`].

mod command;
mod connection;
mod ctl_error;
mod exit_status;
mod fleet;
mod folder;
mod help;
mod options;
mod output;
mod run;

pub use ctl_error::CtlError;
pub use exit_status::ExitStatus;
pub use run::main;
