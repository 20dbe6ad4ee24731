//! Secret keys of the system, several of which may be valid at the same time.

mod key_ring;
mod system_key;

pub use key_ring::{KeyRing, KeyRingError};
pub use system_key::SystemKey;
