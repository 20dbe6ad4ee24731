use std::{net::SocketAddr, process::ExitCode};

use error_stack::{Report, ResultExt};

use super::args::{Args, Argument, unexpected_argument};
use crate::{error::LabError, store};

const HELP: &str = "\
Runs the platform's key-value service: compare-and-swap, sessions and blocking queries over HTTP.
Prints its address as one line of JSON, then runs until it is stopped. GET /lab/counts returns the
number of calls, PUT /lab/fault injects a fault.

Usage: arbutus-lab store [OPTIONS]

Options:
  --listen IP:PORT  address for requests [127.0.0.1:0]
";

/// Runs `arbutus-lab store`.
pub(super) async fn run(mut args: Args) -> Result<ExitCode, Report<LabError>> {
    let mut listen = SocketAddr::from(([127, 0, 0, 1], 0));
    while let Some(argument) = args.next()? {
        match &argument {
            Argument::Long(name) => match name.as_str() {
                "listen" => listen = args.value()?,
                "help" => {
                    print!("{HELP}");
                    return Ok(ExitCode::SUCCESS);
                }
                _ => return Err(unexpected_argument(&argument)),
            },
            Argument::Positional(_) => return Err(unexpected_argument(&argument)),
        }
    }
    store::run(listen).await.change_context(LabError::Socket)?;
    Ok(ExitCode::SUCCESS)
}
