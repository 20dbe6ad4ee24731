use std::{sync::Arc, time::Duration};

use arbutus_core::{
    apply::{Index, KeyLayout, Shard, ShardKey, StoredConfig, StoredService},
    ident::ServiceTag,
};
use arbutus_settings::store::StoreSettings;
use futures_util::future;
use indexmap::IndexMap;

use super::{Entry, Lookup, StoreClient, StoreError, WatchIndex};

/// A reader of the stored configuration that fetches only shards changed since the last read.
#[derive(Debug)]
pub struct ConfigReader {
    client: StoreClient,
    layout: KeyLayout,
    /// The shards that the last read returned.
    shards: IndexMap<ShardKey, Arc<Shard>>,
    /// The index from which the next watch continues.
    watch_index: WatchIndex,
    /// The configuration index that was last returned.
    last_lookup: Option<Lookup>,
}

impl ConfigReader {
    /// Maximum number of shards fetched concurrently.
    const PARALLEL_FETCHES: usize = 8;

    /// Number of attempts of one read. An attempt fails if a shard is deleted while it runs.
    const MAX_ATTEMPTS: usize = 3;

    /// Creates a reader that has not read anything yet.
    #[must_use]
    pub fn new(settings: &StoreSettings) -> Self {
        Self {
            client: StoreClient::new(settings),
            layout: KeyLayout::new(&settings.prefix),
            shards: IndexMap::new(),
            watch_index: WatchIndex::default(),
            last_lookup: None,
        }
    }

    /// Reads the current configuration.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached or its contents cannot be decoded.
    pub async fn read(&mut self) -> Result<StoredConfig, StoreError> {
        let lookup = self.client.get(&self.layout.index()).await?;
        self.resolve(lookup).await
    }

    /// Waits for a configuration that was not returned before, or returns `None` after `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached, stops responding, or its contents cannot be decoded.
    /// The calling code then falls back to [`ConfigReader::read`] after a pause.
    pub async fn watch(&mut self, wait: Duration) -> Result<Option<StoredConfig>, StoreError> {
        let key = self.layout.index();
        let lookup = self.client.watch(&key, self.watch_index, wait).await?;
        // After the store came back from an older copy, the same revision may have another value.
        let last = self.last_lookup.as_ref();
        if last.is_some_and(|it| it.entry == lookup.entry) {
            self.advance_watch(lookup.index);
            return Ok(None);
        }
        self.resolve(lookup).await.map(Some)
    }

    /// Fetches the shards that the configuration index names, and retries if one is missing.
    async fn resolve(&mut self, mut lookup: Lookup) -> Result<StoredConfig, StoreError> {
        for _ in 0..Self::MAX_ATTEMPTS {
            if let Some(stored) = self.fetch_shards(lookup.entry.as_ref()).await? {
                self.advance_watch(lookup.index);
                self.last_lookup = Some(lookup);
                return Ok(stored);
            }
            lookup = self.client.get(&self.layout.index()).await?;
        }
        let reason = "a shard that the index names is missing";
        Err(StoreError::Unreadable(reason.into()))
    }

    /// Sets the index of the next watch. If the store's index went backwards, the next watch starts
    /// from zero, as the published interface requires.
    fn advance_watch(&mut self, index: WatchIndex) {
        self.watch_index = if index < self.watch_index {
            WatchIndex::default()
        } else {
            index
        };
    }

    /// Fetches the shards of a configuration index.
    ///
    /// Returns `None` if a shard no longer exists, which means that a newer index has replaced this
    /// one.
    async fn fetch_shards(
        &mut self,
        entry: Option<&Entry>,
    ) -> Result<Option<StoredConfig>, StoreError> {
        let Some(entry) = entry else {
            self.shards.clear();
            return Ok(Some(StoredConfig::default()));
        };
        let unreadable = |error: &dyn std::fmt::Display| StoreError::Unreadable(error.to_string());
        let index = Index::decode(&entry.value).map_err(|error| unreadable(&error))?;
        let mut found: Vec<Option<Arc<Shard>>> = Vec::with_capacity(index.shards.len());
        for keys in index.shards.chunks(Self::PARALLEL_FETCHES) {
            let calls = future::try_join_all(keys.iter().map(|key| self.fetch_shard(key)));
            found.extend(calls.await?);
        }
        let shards: Option<Vec<_>> = found.into_iter().collect();
        let Some(shards) = shards else {
            return Ok(None);
        };
        let services = shards.iter().flat_map(|shard| &shard.services);
        let services: IndexMap<ServiceTag, StoredService> =
            services.map(|it| (it.service.tag(), it.clone())).collect();
        self.shards = index.shards.iter().cloned().zip(shards).collect();
        Ok(Some(StoredConfig {
            revision: entry.revision,
            index: Some(index),
            services,
        }))
    }

    /// Returns one shard, either from the last read or from the store.
    async fn fetch_shard(&self, key: &ShardKey) -> Result<Option<Arc<Shard>>, StoreError> {
        if let Some(shard) = self.shards.get(key) {
            return Ok(Some(shard.clone()));
        }
        let lookup = self.client.get(&self.layout.shard(key)).await?;
        let Some(entry) = lookup.entry else {
            return Ok(None);
        };
        let shard = Shard::decode(key, &entry.value);
        let shard = shard.map_err(|error| StoreError::Unreadable(error.to_string()))?;
        Ok(Some(Arc::new(shard)))
    }
}
