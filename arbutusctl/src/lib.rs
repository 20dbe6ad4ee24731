//! The operator's command line: checks a folder of files, applies it, and shows what is in force.
//!
//! [`main`] is the whole program. Its exit codes are those of [`ExitStatus`].

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
