use serde::{Deserialize, Serialize};

use super::{ChangeId, ChangeRecord, ShardKey};
use crate::config::ConfigVersion;

/// The list of shards in force, with the recent change history.
///
/// A compare-and-swap of this value commits a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// Format of this value; [`Index::FORMAT`].
    pub format: u32,
    /// Version in force.
    pub version: ConfigVersion,
    /// The change that created this version.
    pub change: ChangeRecord,
    /// Earlier changes, latest first; at most [`Index::HISTORY_LIMIT`].
    pub history: Vec<PastChange>,
    /// Shards in force, in order of their numbers; empty shards are omitted.
    pub shards: Vec<ShardKey>,
    /// Shards that are no longer in force but still stored, latest first; at most
    /// [`Index::RETIRED_SHARD_LIMIT`], or as many as were in force before this change if that is
    /// more.
    pub retired: Vec<ShardKey>,
}

/// An entry of the change history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastChange {
    /// Version that the change created.
    pub version: ConfigVersion,
    /// ID of the change.
    pub id: ChangeId,
}

/// Reason why a stored value cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// The value does not parse.
    Malformed,
    /// The value has a format that this program does not support.
    UnknownFormat(u32),
    /// The content of the shard does not match its hash.
    HashMismatch,
    /// The shard holds a service that belongs to a different shard.
    WrongShard,
}

impl Index {
    /// Format that this program reads and writes.
    pub const FORMAT: u32 = 1;
    /// Maximum length of the history; a late read-back must still find its own change in it.
    pub const HISTORY_LIMIT: usize = 64;
    /// Number of retired shards to keep, for readers that still hold an earlier index.
    pub const RETIRED_SHARD_LIMIT: usize = 32;

    /// Encodes the index.
    ///
    /// # Panics
    ///
    /// Never panics: every value of these types can be encoded as JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an index always encodes as JSON")
    }

    /// Decodes an index.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an index or have a different format.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let index: Self = serde_json::from_slice(bytes).map_err(|_| DecodeError::Malformed)?;
        if index.format != Self::FORMAT {
            return Err(DecodeError::UnknownFormat(index.format));
        }
        Ok(index)
    }

    /// Returns the current change and the changes of the history, latest first.
    pub fn changes(&self) -> impl Iterator<Item = PastChange> {
        let current = PastChange {
            version: self.version,
            id: self.change.id,
        };
        std::iter::once(current).chain(self.history.iter().copied())
    }
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Malformed => f.write_str("the value does not parse"),
            Self::UnknownFormat(format) => {
                write!(f, "the value has the unsupported format {format}")
            }
            Self::HashMismatch => f.write_str("the shard's content does not match its hash"),
            Self::WrongShard => {
                f.write_str("the shard holds a service that belongs to a different shard")
            }
        }
    }
}

impl std::error::Error for DecodeError {}
