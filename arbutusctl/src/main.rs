//! The operator's command line of arbutusstage.

use std::process::ExitCode;

fn main() -> ExitCode {
    arbutusctl::main(std::env::args_os().skip(1))
}
