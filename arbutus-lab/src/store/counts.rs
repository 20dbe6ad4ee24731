use serde::{Deserialize, Serialize};

/// Counters of the calls to the store by kind; a watch counts as one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads that do not wait.
    pub reads: u64,
    /// Reads that wait for a change.
    pub watches: u64,
    /// Writes, including deletions.
    pub writes: u64,
    /// Calls that create, renew or destroy a session.
    pub sessions: u64,
    /// Writes that were rejected because the compare-and-swap index did not match.
    pub mismatches: u64,
    /// Calls that were affected by a fault.
    pub faulted: u64,
}

/// The kind of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A read that does not wait.
    Read,
    /// A read that waits for a change.
    Watch,
    /// A write or deletion.
    Write,
    /// A call that creates, renews or destroys a session.
    Session,
}

impl Counts {
    /// Counts a call of this kind.
    pub const fn count(&mut self, kind: CallKind) {
        match kind {
            CallKind::Read => self.reads += 1,
            CallKind::Watch => self.watches += 1,
            CallKind::Write => self.writes += 1,
            CallKind::Session => self.sessions += 1,
        }
    }
}
