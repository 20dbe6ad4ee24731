use crate::time::Timestamp;

/// A record with what this node alone notes about it.
#[derive(Debug)]
pub struct RosterEntry<R> {
    /// The record.
    pub record: R,
    /// When the member was last held to be live, or the record was taken in.
    pub changed_at: Timestamp,
    /// When the record's incarnation was first known here.
    pub(super) incarnation_first_seen: Timestamp,
    /// Whether the record counts in the digests; one that expires soon does not.
    pub(super) in_digests: bool,
}
