use serde::{Deserialize, Serialize};

/// A number that distinguishes a process from earlier processes at the same address.
///
/// A process starts with the wall clock's time in milliseconds. A process that receives a higher
/// value for its own address continues with the next value above that before serving anything.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from its number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next incarnation at the same address.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the low 16 bits, as carried in a connection ID.
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
