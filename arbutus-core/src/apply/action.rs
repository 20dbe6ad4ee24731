use super::{Outcome, Revision, ShardValue};

/// What the machine wants done; one thing at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the index and the shards it names.
    Read,
    /// Write all these shards.
    WriteShards(Vec<ShardValue>),
    /// Write the index if its key still has this revision.
    SwapIndex {
        /// The revision that the key must have.
        expected: Revision,
        /// The new index.
        bytes: Vec<u8>,
    },
    /// Call again with [`super::Event::Woken`] at [`super::ApplyMachine::next_wakeup`].
    Wait,
    /// Tell the operator; nothing more is wanted.
    Finish(Outcome),
}
