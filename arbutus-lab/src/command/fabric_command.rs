use std::{process::ExitCode, time::Duration};

use error_stack::Report;

use super::{
    args::{Args, Argument, unexpected_argument},
    main_command::announce,
};
use crate::{
    error::LabError,
    fabric::{Fabric, FabricOptions},
};

const HELP: &str = "\
Distributes callers' datagrams over the balancers, with a PROXY protocol v2 header. Prints its
addresses as one line of JSON, then runs until it is stopped.

Usage: arbutus-lab fabric [OPTIONS]

Options:
  --service IP:PORT   service address to listen on; repeatable
  --balancer IP:PORT  fabric address of a balancer; repeatable
  --egress IP:PORT    address for datagrams to and from balancers [127.0.0.1:0]
  --admin IP:PORT     admin address: GET /counts, POST /command [127.0.0.1:0]
  --seed K            seed of the random choices [0]
";

/// Runs `arbutus-lab fabric`.
pub(super) async fn run(mut args: Args) -> Result<ExitCode, Report<LabError>> {
    let mut options = FabricOptions::new();
    while let Some(argument) = args.next()? {
        match &argument {
            Argument::Long(name) => match name.as_str() {
                "service" => options.services.push(args.value()?),
                "balancer" => options.balancers.push(args.value()?),
                "egress" => options.egress = args.value()?,
                "admin" => options.admin = args.value()?,
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
    announce(&Fabric::start(&options).await?);
    wait_forever().await
}

/// Keeps the process running until a signal ends it.
pub(super) async fn wait_forever() -> ! {
    loop {
        tokio::time::sleep(Duration::from_secs(3_600)).await;
    }
}
