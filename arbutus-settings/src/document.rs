//! A parser for JSON with comments that keeps the location of each value.

mod lines;
mod node;
mod reader;
mod source;
mod value;

pub use node::Node;
pub use reader::Reader;
pub use source::Document;
pub use value::{Entry, Value};
