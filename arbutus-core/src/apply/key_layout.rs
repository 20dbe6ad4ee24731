use super::ShardKey;

/// Where the configuration lies among the keys of the platform's store.
#[derive(Debug, Clone)]
pub struct KeyLayout {
    /// What all keys begin with; ends in a slash.
    prefix: std::sync::Arc<str>,
}

impl KeyLayout {
    /// Makes the layout under `prefix`.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.into(),
        }
    }

    /// The key of the index.
    #[must_use]
    pub fn index(&self) -> String {
        format!("{}index", self.prefix)
    }

    /// The key of a shard.
    #[must_use]
    pub fn shard(&self, key: &ShardKey) -> String {
        format!("{}shard/{}/{}", self.prefix, key.number, key.hash)
    }
}
