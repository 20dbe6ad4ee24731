use arbutus_core::apply::Revision;
use base64::{Engine, engine::general_purpose::STANDARD};
use serde::Deserialize;

use super::StoreError;

/// The store's index of its latest change, from which the next watch continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct WatchIndex(u64);

impl WatchIndex {
    /// Creates an index from the number that the store sent.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the index as a number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// The value and the revision of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the key, which a compare-and-swap expects.
    pub revision: Revision,
}

/// The result of reading a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lookup {
    /// The key's entry, or `None` if the key does not exist.
    pub entry: Option<Entry>,
    /// The index from which the next watch continues.
    pub index: WatchIndex,
}

/// An element of the response to a read, with the field names of the published interface.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireEntry {
    value: Option<String>,
    modify_index: u64,
}

impl Entry {
    /// Decodes the response to a read of one key.
    pub(super) fn decode(body: &[u8]) -> Result<Option<Self>, StoreError> {
        let unreadable = |error: &dyn std::fmt::Display| StoreError::Unreadable(error.to_string());
        let entries: Vec<WireEntry> =
            serde_json::from_slice(body).map_err(|error| unreadable(&error))?;
        let Some(entry) = entries.into_iter().next() else {
            return Ok(None);
        };
        let text = entry.value.unwrap_or_default();
        let value = STANDARD.decode(text).map_err(|error| unreadable(&error))?;
        Ok(Some(Self {
            value,
            revision: Revision::new(entry.modify_index),
        }))
    }
}
