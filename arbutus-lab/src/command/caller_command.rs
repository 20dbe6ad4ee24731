use std::{net::SocketAddrV4, path::PathBuf, process::ExitCode, sync::Arc, time::Duration};

use error_stack::Report;

use super::{
    args::{Args, Argument, missing_option, unexpected_argument},
    main_command::announce,
};
use crate::{
    caller::{self, CallerOptions},
    error::LabError,
};

const HELP: &str = "\
Sends requests over HTTP/3 and prints the callers' journal as one line of JSON.

Usage: arbutus-lab caller --target IP:PORT --service NAME --ca FILE [OPTIONS]

Options:
  --callers N       number of callers, each with its own session [4]
  --rate R          requests per second of all callers together [40]
  --seconds S       time in which new requests are sent [5]
  --post-percent P  share of requests that are not repeatable, in percent [50]
  --deadline-ms MS  deadline of each request [5000]
  --seed K          seed of the random choices [0]
";

/// Runs `arbutus-lab caller`.
pub(super) async fn run(mut args: Args) -> Result<ExitCode, Report<LabError>> {
    let mut target: Option<SocketAddrV4> = None;
    let mut service: Option<String> = None;
    let mut ca: Option<PathBuf> = None;
    let mut options = CallerOptions::new(
        SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0),
        "",
        PathBuf::new(),
    );
    while let Some(argument) = args.next()? {
        match &argument {
            Argument::Long(name) => match name.as_str() {
                "target" => target = Some(args.value()?),
                "service" => service = Some(args.value()?),
                "ca" => ca = Some(PathBuf::from(args.value::<String>()?)),
                "callers" => options.callers = args.value()?,
                "rate" => options.rate = args.value()?,
                "seconds" => options.duration = Duration::from_secs(args.value()?),
                "post-percent" => options.post_percent = args.value()?,
                "deadline-ms" => options.deadline = Duration::from_millis(args.value()?),
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
    options.target = target.ok_or_else(|| missing_option("target"))?;
    options.service = Arc::from(service.ok_or_else(|| missing_option("service"))?);
    options.label = Arc::clone(&options.service);
    options.ca = ca.ok_or_else(|| missing_option("ca"))?;
    announce(&caller::run(options).await?);
    Ok(ExitCode::SUCCESS)
}
