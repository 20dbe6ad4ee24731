use std::sync::Arc;

use super::StoredConfig;

/// What the machine is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// The operator asks for the change.
    Started,
    /// The answer to [`super::Action::Read`].
    Read(Result<StoredConfig, StoreFailure>),
    /// The answer to [`super::Action::WriteShards`].
    ShardsWritten(Result<(), StoreFailure>),
    /// The answer to [`super::Action::SwapIndex`].
    Swapped(Result<SwapResult, StoreFailure>),
    /// The time of [`super::ApplyMachine::next_wakeup`] has come.
    Woken,
}

/// The store's definite answer to a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapResult {
    /// The value was written.
    Done,
    /// The key had another revision; nothing was written.
    Mismatch,
}

/// Why a call to the store gave no definite answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreFailure {
    /// It took no effect and never will.
    NotApplied(Arc<str>),
    /// It may have taken effect, or may still do so.
    Unknown(Arc<str>),
    /// The store answered with something that this program cannot read.
    Unreadable(Arc<str>),
}

impl std::fmt::Display for StoreFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (Self::NotApplied(reason) | Self::Unknown(reason) | Self::Unreadable(reason)) = self;
        f.write_str(reason)
    }
}
