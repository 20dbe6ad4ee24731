//! The system's secret keys, read from the files that the settings name.

mod load;

pub use load::{load, load_set, parse_secret};
pub(crate) use load::{numbers, read_ring};
