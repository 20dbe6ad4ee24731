use super::{Outcome, Revision, ShardValue};

/// The next operation that [`super::ApplyMachine`] requests; one is in flight at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the index and the shards that it lists.
    Read,
    /// Write all of these shards.
    WriteShards(Vec<ShardValue>),
    /// Write the index if its key still has the expected revision.
    SwapIndex {
        /// Revision that the index key must have.
        expected: Revision,
        /// The encoded new index.
        bytes: Vec<u8>,
    },
    /// Call [`super::ApplyMachine::handle`] with [`super::Event::Woken`] at
    /// [`super::ApplyMachine::next_wakeup`].
    Wait,
    /// Report the outcome to the operator; the change is finished.
    Finish(Outcome),
}
