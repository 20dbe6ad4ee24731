/// What became of a record that was merged into the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It was news.
    Changed,
    /// It was known.
    Unchanged,
    /// The roster has a newer one.
    Stale,
    /// It can't be merged: it lacks the record it refers to, or is past its expiry.
    Ignored,
    /// It has the incarnation of a record of another agent at the same address.
    Conflict,
}
