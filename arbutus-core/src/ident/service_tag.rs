use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

/// A hash of a service's name, which identifies the service on the wire.
///
/// The check of the operator's files reports two names with the same tag, so that a tag identifies
/// a single service.
///
/// # Examples
///
/// ```
/// use arbutus_core::ident::ServiceTag;
///
/// assert_eq!(ServiceTag::of_name("lookup"), ServiceTag::of_name("lookup"));
/// assert_ne!(ServiceTag::of_name("lookup"), ServiceTag::of_name("tables"));
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ServiceTag(u32);

impl ServiceTag {
    /// Creates a tag from its number.
    #[must_use]
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the tag of the service with this name.
    #[must_use]
    pub fn of_name(name: &str) -> Self {
        let mut hasher = SipHasher24::new();
        hasher.write(name.as_bytes());
        Self((hasher.finish() & 0xffff_ffff) as u32)
    }
}

impl std::fmt::Display for ServiceTag {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
