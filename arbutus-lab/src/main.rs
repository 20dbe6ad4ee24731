//! The command line of the laboratory.

use std::process::ExitCode;

use arbutus_lab::command;

fn main() -> ExitCode {
    command::main(std::env::args_os())
}
