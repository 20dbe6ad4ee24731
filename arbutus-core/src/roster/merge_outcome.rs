/// The outcome of merging a record into the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record was new or had a higher rank, and the roster changed.
    Changed,
    /// The roster already had the record.
    Unchanged,
    /// The roster has a newer record.
    Stale,
    /// The record cannot be merged: the record it refers to is missing, or the record has expired.
    Ignored,
    /// Another agent's record at the same address has the same incarnation.
    Conflict,
}
