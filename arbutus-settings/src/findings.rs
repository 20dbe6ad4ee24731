//! Findings: the errors in files, each with its location.

mod collection;
mod finding;
mod location;

pub use collection::Findings;
pub use finding::Finding;
pub use location::Location;
