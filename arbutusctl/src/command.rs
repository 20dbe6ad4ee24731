//! The implementations of the commands.

mod apply;
mod check;
mod diff;
mod drain;
mod explain;
mod keys;
mod kind;
mod report;
mod status;
mod watch;

pub(crate) use kind::Command;

use error_stack::Report;

use crate::{CtlError, ExitStatus, options::Options};

/// Runs one command.
pub(crate) async fn run(
    command: Command,
    options: &Options,
) -> Result<ExitStatus, Report<CtlError>> {
    match command {
        Command::Check => check::run(options),
        Command::Apply => apply::run(options).await,
        Command::Status => status::run(options).await,
        Command::Diff => diff::run(options).await,
        Command::Drain => drain::drain(options).await,
        Command::Undrain => drain::undrain(options).await,
        Command::Explain => explain::run(options).await,
        Command::Watch => watch::run(options).await,
        Command::Keys => keys::run(options),
    }
}
