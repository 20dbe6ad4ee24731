//! Entry point of the `arbutus-lab` command line.

use std::process::ExitCode;

use arbutus_lab::command;

fn main() -> ExitCode {
    command::main(std::env::args_os())
}
