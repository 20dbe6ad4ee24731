use super::ShardKey;

/// The keys under which the configuration is stored in the platform's store.
#[derive(Debug, Clone)]
pub struct KeyLayout {
    /// Prefix of all keys; ends with a slash.
    prefix: std::sync::Arc<str>,
}

impl KeyLayout {
    /// Creates the layout of keys under `prefix`.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.into(),
        }
    }

    /// Returns the key of the index.
    #[must_use]
    pub fn index(&self) -> String {
        format!("{}index", self.prefix)
    }

    /// Returns the key of a shard.
    #[must_use]
    pub fn shard(&self, key: &ShardKey) -> String {
        format!("{}shard/{}/{}", self.prefix, key.number, key.hash)
    }
}
