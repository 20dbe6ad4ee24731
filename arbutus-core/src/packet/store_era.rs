use std::fmt;

/// The era of the store, which rises each time the store comes back from an older copy.
///
/// Revisions and leases of an earlier era mean nothing: the store may have given out the same
/// numbers again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreEra(u64);

impl StoreEra {
    /// Creates an era from the store's number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the store's number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
