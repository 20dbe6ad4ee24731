use std::{process::ExitCode, sync::Arc, time::Duration};

use error_stack::Report;

use super::{
    args::{Args, Argument, missing_option, unexpected_argument},
    fabric_command::wait_forever,
    main_command::announce,
};
use crate::{
    backend::{Backend, BackendOptions, ServiceTime},
    error::LabError,
};

const HELP: &str = "\
Runs a backend server over HTTP/1.1. Prints its addresses as one line of JSON, then runs until it is
stopped. GET /health and GET /load report its state; a request for any other path is work.

Usage: arbutus-lab backend --name NAME --service SERVICE [OPTIONS]

Options:
  --listen IP:PORT     address for requests [127.0.0.1:0]
  --admin IP:PORT      admin address: GET /lab/journal, POST /lab/behaviour [127.0.0.1:0]
  --slots N            maximum number of requests that run at once [5]
  --mean-ms MS         mean of the exponential service time [20]
  --fixed-ms MS        constant service time, instead of an exponential one
  --seed K             seed of the random choices [0]
";

/// Runs `arbutus-lab backend`.
pub(super) async fn run(mut args: Args) -> Result<ExitCode, Report<LabError>> {
    let mut options = BackendOptions::new("", "");
    while let Some(argument) = args.next()? {
        match &argument {
            Argument::Long(name) => match name.as_str() {
                "name" => options.name = Arc::from(args.value::<String>()?),
                "service" => options.service = Arc::from(args.value::<String>()?),
                "listen" => options.listen = args.value()?,
                "admin" => options.admin = args.value()?,
                "slots" => options.slots = args.value()?,
                "mean-ms" => {
                    let mean = Duration::from_millis(args.value()?);
                    options.service_time = ServiceTime::Exponential(mean);
                }
                "fixed-ms" => {
                    let time = Duration::from_millis(args.value()?);
                    options.service_time = ServiceTime::Fixed(time);
                }
                "seed" => options.seed = args.value()?,
                "help" => {
                    print!("{HELP}");
                    return Ok(ExitCode::SUCCESS);
                }
                _ => return Err(unexpected_argument(&argument)),
            },
            Argument::Positional(_) => return Err(unexpected_argument(&argument)),
        }
    }
    if options.name.is_empty() {
        return Err(missing_option("name"));
    }
    if options.service.is_empty() {
        return Err(missing_option("service"));
    }
    announce(&Backend::start(&options).await?);
    wait_forever().await
}
