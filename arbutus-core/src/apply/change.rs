use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// Identifies one change of the configuration; retries of the change keep the same ID.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct ChangeId([u8; 16]);

impl ChangeId {
    /// Creates an ID from random bytes.
    #[must_use]
    pub const fn new(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Parses an ID from 32 hexadecimal digits.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.bytes().all(|digit| digit.is_ascii_hexdigit());
        if text.len() != 32 || !digits {
            return None;
        }
        let number = u128::from_str_radix(text, 16).ok()?;
        Some(Self(number.to_be_bytes()))
    }
}

impl std::fmt::Display for ChangeId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl Serialize for ChangeId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ChangeId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).ok_or_else(|| D::Error::custom("expected 32 hexadecimal digits"))
    }
}

/// The author and time of a change.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// ID of the change.
    pub id: ChangeId,
    /// Author of the change, shown to other operators.
    pub by: Arc<str>,
    /// Time of the change in milliseconds since the Unix epoch, by the author's clock.
    pub at_unix_ms: u64,
}

impl ChangeRecord {
    /// Creates a record.
    #[must_use]
    pub fn new(id: ChangeId, by: &str, at_unix_ms: u64) -> Self {
        Self {
            id,
            by: Arc::from(by),
            at_unix_ms,
        }
    }
}
