use serde::{Deserialize, Serialize};

/// Calls to the store by kind; a waiting watch is one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads that do not wait.
    pub reads: u64,
    /// Reads that wait for a change.
    pub watches: u64,
    /// Writes of any kind, deletions included.
    pub writes: u64,
    /// Calls about sessions.
    pub sessions: u64,
    /// Writes that a compare-and-swap turned away.
    pub mismatches: u64,
    /// Calls that a fault touched.
    pub faulted: u64,
}

/// What kind of call it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// A read that does not wait.
    Read,
    /// A read that waits for a change.
    Watch,
    /// A write or deletion.
    Write,
    /// A call about a session.
    Session,
}

impl Counts {
    /// Counts a call.
    pub const fn count(&mut self, call: Call) {
        match call {
            Call::Read => self.reads += 1,
            Call::Watch => self.watches += 1,
            Call::Write => self.writes += 1,
            Call::Session => self.sessions += 1,
        }
    }
}
