use std::sync::Arc;

use super::StoredConfig;

/// Input of [`super::ApplyMachine`].
#[derive(Debug, Clone)]
pub enum Event {
    /// The operator requested the change.
    Started,
    /// Result of [`super::Action::Read`].
    Read(Result<StoredConfig, StoreFailure>),
    /// Result of [`super::Action::WriteShards`].
    ShardsWritten(Result<(), StoreFailure>),
    /// Result of [`super::Action::SwapIndex`].
    Swapped(Result<SwapResult, StoreFailure>),
    /// The time returned by [`super::ApplyMachine::next_wakeup`] has been reached.
    Woken,
}

/// Definite result of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapResult {
    /// The value was written.
    Done,
    /// The key had a different revision; nothing was written.
    Mismatch,
}

/// Failure of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreFailure {
    /// The call had no effect and never will have one.
    NotApplied(Arc<str>),
    /// The call may have taken effect or may still take effect.
    Unknown(Arc<str>),
    /// The response of the store cannot be decoded.
    Unreadable(Arc<str>),
}

impl std::fmt::Display for StoreFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (Self::NotApplied(reason) | Self::Unknown(reason) | Self::Unreadable(reason)) = self;
        f.write_str(reason)
    }
}
