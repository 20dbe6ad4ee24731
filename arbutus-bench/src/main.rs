//! Runs the measurements of arbutusstage: `arbutus-bench MEASUREMENT [OPTIONS]`.

use std::process::ExitCode;

use arbutus_bench::{
    bench_error::BenchError, configuration, data_path, membership, policy, requests,
};
use error_stack::{Report, ResultExt};
use lexopt::{Arg, Parser};

const HELP: &str = "\
Usage: arbutus-bench MEASUREMENT [OPTIONS]

Measurements:
  configuration
              cost of loading, storing and changing the configuration as services grow
  data-path   datagrams per second, compared with a relay that makes no decisions
  membership  control-plane traffic, convergence and cost among many nodes
  policy      how evenly new flows are placed on backend servers
  requests    queue bound, retry budget and cost of request admission

Options:
  -h, --help       print this help, or that of a measurement
  -V, --version    print the version

Exit codes: 0 success, 1 the measurement failed, 2 invalid command line";

fn main() -> ExitCode {
    match dispatch(&mut Parser::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            match report.current_context() {
                BenchError::Usage => ExitCode::from(2),
                BenchError::Failed => ExitCode::FAILURE,
            }
        }
    }
}

fn dispatch(parser: &mut Parser) -> Result<(), Report<BenchError>> {
    match parser.next().change_context(BenchError::Usage)? {
        None | Some(Arg::Short('h') | Arg::Long("help")) => println!("{HELP}"),
        Some(Arg::Short('V') | Arg::Long("version")) => {
            println!("arbutus-bench {}", env!("CARGO_PKG_VERSION"));
        }
        Some(Arg::Value(name)) => match name.to_str() {
            Some("configuration") => return configuration::run(parser),
            Some("data-path") => return data_path::run(parser),
            Some("membership") => return membership::run(parser),
            Some("policy") => return policy::run(parser),
            Some("requests") => return requests::run(parser),
            _ => return Err(Report::new(BenchError::Usage).attach("unknown measurement")),
        },
        Some(other) => {
            return Err(Report::new(other.unexpected()).change_context(BenchError::Usage));
        }
    }
    Ok(())
}
