use arbutus_core::apply::Revision;
use base64::{Engine, engine::general_purpose::STANDARD};
use serde::Deserialize;

use super::StoreError;

/// The store's number of its latest change, from which a watch continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct WatchIndex(u64);

impl WatchIndex {
    /// Makes an index from the store's number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number itself.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// The value of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// The state of the key, for a compare-and-swap.
    pub revision: Revision,
}

/// What a read found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lookup {
    /// The key's value; `None` where the key is absent.
    pub entry: Option<Entry>,
    /// From where a watch continues.
    pub index: WatchIndex,
}

/// An element of the answer to a read, as the published interface names its fields.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireEntry {
    value: Option<String>,
    modify_index: u64,
}

impl Entry {
    /// Decodes the answer to a read of one key.
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
