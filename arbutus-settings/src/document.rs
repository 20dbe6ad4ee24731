//! JSON with comments, parsed into values that know their locations.

mod lines;
mod node;
mod reader;
mod source;
mod value;

pub use node::Node;
pub use reader::Reader;
pub use source::Document;
pub use value::{Entry, Value};
