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
Sprays callers' datagrams over the balancers, in PROXY protocol v2. Prints its addresses as one
line of JSON, then runs until it is stopped.

Usage: arbutus-lab fabric [OPTIONS]

Options:
  --service IP:PORT   a service address to listen on; may be given several times
  --balancer IP:PORT  a balancer's fabric address; may be given several times
  --egress IP:PORT    where datagrams to and from balancers pass [127.0.0.1:0]
  --admin IP:PORT     admin port: GET /counts, POST /command [127.0.0.1:0]
  --seed K            seed of the random choices [0]
";

pub(super) async fn run(mut args: Args) -> Result<ExitCode, Report<LabError>> {
    let mut options = FabricOptions::new();
    while let Some(flag) = args.next()? {
        match &flag {
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
                _ => return Err(unexpected_argument(&flag)),
            },
            Argument::Positional(_) => return Err(unexpected_argument(&flag)),
        }
    }
    announce(&Fabric::start(&options).await?);
    wait_forever().await
}

/// Waits for the process to be ended from outside.
pub(super) async fn wait_forever() -> ! {
    loop {
        tokio::time::sleep(Duration::from_secs(3_600)).await;
    }
}
