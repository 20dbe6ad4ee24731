//! The command line.

mod invocation;
mod parser;

pub(crate) use invocation::{Invocation, Options};
pub(crate) use parser::parse;
