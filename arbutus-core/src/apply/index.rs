use serde::{Deserialize, Serialize};

use super::{ChangeId, ChangeRecord, ShardKey};
use crate::config::ConfigVersion;

/// The value whose compare-and-swap commits a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// The format of this value; [`Index::FORMAT`].
    pub format: u32,
    /// The version in force.
    pub version: ConfigVersion,
    /// The change that made it.
    pub change: ChangeRecord,
    /// The changes before it, the latest first; at most [`Index::HISTORY_LIMIT`].
    pub history: Vec<PastChange>,
    /// The shards, in the order of their numbers; empty ones are left out.
    pub shards: Vec<ShardKey>,
    /// Shards that are no longer in force and still kept, the latest first; at most
    /// [`Index::RETIRED_SHARD_LIMIT`] or those that one change replaced.
    pub retired: Vec<ShardKey>,
}

/// An earlier change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastChange {
    /// The version it made.
    pub version: ConfigVersion,
    /// Its ID.
    pub id: ChangeId,
}

/// What is wrong with a value of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// It does not parse.
    Malformed,
    /// It has a format that this program does not know.
    UnknownFormat(u32),
    /// A shard's content is not that of its hash.
    HashMismatch,
    /// A shard holds a service that belongs to another.
    WrongShard,
}

impl Index {
    /// The format that this program writes.
    pub const FORMAT: u32 = 1;
    /// Changes remembered, so that a late read-back still finds its own.
    pub const HISTORY_LIMIT: usize = 64;
    /// Shards kept after they went out of force, for readers that still hold an earlier index.
    pub const RETIRED_SHARD_LIMIT: usize = 32;

    /// Encodes the index.
    ///
    /// # Panics
    ///
    /// Never: the types have no value that JSON cannot hold.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an index is a plain value")
    }

    /// Decodes an index.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are no index or have another format.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let index: Self = serde_json::from_slice(bytes).map_err(|_| DecodeError::Malformed)?;
        if index.format != Self::FORMAT {
            return Err(DecodeError::UnknownFormat(index.format));
        }
        Ok(index)
    }

    /// The present change and the remembered ones before it, the latest first.
    pub fn changes(&self) -> impl Iterator<Item = PastChange> {
        let present = PastChange {
            version: self.version,
            id: self.change.id,
        };
        std::iter::once(present).chain(self.history.iter().copied())
    }
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Malformed => f.write_str("the value does not parse"),
            Self::UnknownFormat(format) => write!(f, "the value has the unknown format {format}"),
            Self::HashMismatch => f.write_str("the shard's content does not match its hash"),
            Self::WrongShard => f.write_str("the shard holds a service of another"),
        }
    }
}

impl std::error::Error for DecodeError {}
