use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

/// A service's number on the wire, made from its name.
///
/// Two names with one tag are a finding of the operator's check, so that a tag names one service.
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
    /// Makes a tag from its number.
    #[must_use]
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// The number itself.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// The tag of the service called `name`.
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
