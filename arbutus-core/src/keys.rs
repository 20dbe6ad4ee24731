//! The system's secret keys, of which two or more may be valid at once.

mod key_ring;
mod system_key;

pub use key_ring::{KeyRing, KeyRingError};
pub use system_key::SystemKey;
