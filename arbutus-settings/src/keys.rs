//! The system's secret keys, read from the files that the settings name.

mod load;

pub(crate) use load::read_ring;
pub use load::{load, parse_secret};
