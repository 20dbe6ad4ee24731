use crate::time::Timestamp;

/// A record with the state that this node keeps for it.
#[derive(Debug)]
pub struct RosterEntry<R> {
    /// The record.
    pub record: R,
    /// When the record last changed. For a record received with an age, the time at which the
    /// member stopped being considered live.
    pub changed_at: Timestamp,
    /// When the record's incarnation was first received by this node.
    pub(super) incarnation_first_seen: Timestamp,
    /// Whether the record is included in the digests. Records that expire soon are not.
    pub(super) in_digests: bool,
}
