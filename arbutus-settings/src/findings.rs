//! What is wrong with files, collected with the location of each.

mod collection;
mod finding;
mod location;

pub use collection::Findings;
pub use finding::Finding;
pub use location::Location;
