//! Events of an experiment, and their syntax on the command line.

mod action;
mod duration;
mod event;
mod parse;

pub use action::{Action, Node, Role, StoreBehaviour};
pub use duration::parse_duration;
pub use event::Event;
pub use parse::EventError;
