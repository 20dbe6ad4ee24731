use arbutus_core::apply::StoreFailure;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// It took no effect and never will.
    NotDone(String),
    /// The answer was lost; a write may have taken effect, or may still do so.
    Unknown(String),
    /// The answer cannot be read.
    Unreadable(String),
}

impl StoreError {
    /// The error as the decisions see it.
    #[must_use]
    pub fn failure(&self) -> StoreFailure {
        match self {
            Self::NotDone(reason) => StoreFailure::NotApplied(reason.as_str().into()),
            Self::Unknown(reason) => StoreFailure::Unknown(reason.as_str().into()),
            Self::Unreadable(reason) => StoreFailure::Unreadable(reason.as_str().into()),
        }
    }
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotDone(reason) => write!(f, "the store did not do it: {reason}"),
            Self::Unknown(reason) => write!(f, "the store's answer was lost: {reason}"),
            Self::Unreadable(reason) => write!(f, "the store's answer cannot be read: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}
