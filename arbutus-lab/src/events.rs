//! Events of an experiment, as its command line writes them.

mod action;
mod event;
mod parse;
mod span;

pub use action::{Action, Node, Role, StoreBehaviour};
pub use event::Event;
pub use parse::EventError;
pub use span::parse_span;
