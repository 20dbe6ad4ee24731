//! What is wrong with files, collected with the place of each.

mod collection;
mod finding;
mod place;

pub use collection::Findings;
pub use finding::Finding;
pub use place::Place;
