//! The loading of the system's secret keys from the files that the settings name.

mod load;

pub use load::{load, load_set, parse_secret};
pub(crate) use load::{parse_key_numbers, read_ring};
