use serde::{Deserialize, Serialize};

/// One life of a process at its address.
///
/// A process takes the wall clock's milliseconds at its start; a process that learns of a higher
/// value at its own address takes the next one above it before it serves anything.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Makes an incarnation from its number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number itself.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The next incarnation at the same address.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The low 16 bits, as carried in a connection ID.
    #[must_use]
    pub const fn short(self) -> u16 {
        (self.0 & 0xffff) as u16
    }
}

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}
