//! The subcommands of `arbutus-lab`.

mod args;
mod backend_command;
mod baseline_command;
mod caller_command;
mod demo_command;
mod fabric_command;
mod main_command;
mod report_command;
mod run_command;
mod store_command;

pub use main_command::main;
