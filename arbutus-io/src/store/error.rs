use arbutus_core::apply::StoreFailure;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect and will have none.
    NotDone(String),
    /// No definite response arrived; a write may have taken effect or may still do so.
    Unknown(String),
    /// The response cannot be decoded.
    Unreadable(String),
}

impl StoreError {
    /// Converts the error into the failure that [`arbutus_core`] expects.
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
            Self::NotDone(reason) => write!(f, "the store did not carry out the call: {reason}"),
            Self::Unknown(reason) => {
                write!(f, "the store's answer was lost: {reason}")
            }
            Self::Unreadable(reason) => {
                write!(f, "the store's answer cannot be decoded: {reason}")
            }
        }
    }
}

impl std::error::Error for StoreError {}
