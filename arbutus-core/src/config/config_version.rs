use serde::{Deserialize, Serialize};

/// The number of an accepted configuration; it rises by one with each accepted change.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ConfigVersion(u64);

impl ConfigVersion {
    /// The version before any configuration.
    pub const NONE: Self = Self(0);

    /// Makes a version from its number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number itself.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The version after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}
