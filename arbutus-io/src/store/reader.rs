use std::{sync::Arc, time::Duration};

use arbutus_core::{
    apply::{Index, KeyLayout, Revision, Shard, ShardKey, StoredConfig, StoredService},
    ident::ServiceTag,
};
use arbutus_settings::store::StoreSettings;
use futures_util::future;
use indexmap::IndexMap;

use super::{Entry, Lookup, StoreClient, StoreError, WatchIndex};

/// Reads the configuration, fetching only the shards that changed since the last read.
#[derive(Debug)]
pub struct ConfigReader {
    client: StoreClient,
    layout: KeyLayout,
    /// The shards of the last read.
    shards: IndexMap<ShardKey, Arc<Shard>>,
    /// From where the next watch continues.
    watched: WatchIndex,
    /// The revision of the index that was last given out.
    revision: Option<Revision>,
}

impl ConfigReader {
    /// How many shards are fetched at once.
    const PARALLEL_FETCHES: usize = 8;
    /// How often a read begins anew because a shard was deleted under it.
    const TRIES: usize = 3;

    /// Makes a reader.
    #[must_use]
    pub fn new(settings: &StoreSettings) -> Self {
        Self {
            client: StoreClient::new(settings),
            layout: KeyLayout::new(&settings.prefix),
            shards: IndexMap::new(),
            watched: WatchIndex::default(),
            revision: None,
        }
    }

    /// Reads the configuration as it is now.
    ///
    /// # Errors
    ///
    /// Fails where the store cannot be asked or holds something unreadable.
    pub async fn read(&mut self) -> Result<StoredConfig, StoreError> {
        let lookup = self.client.get(&self.layout.index()).await?;
        self.follow(lookup).await
    }

    /// Waits for a configuration that was not given out yet; `None` after `wait` without one.
    ///
    /// # Errors
    ///
    /// Fails where the store cannot be asked, falls silent, or holds something unreadable. The
    /// caller then falls back to [`ConfigReader::read`] after a pause.
    pub async fn watch(&mut self, wait: Duration) -> Result<Option<StoredConfig>, StoreError> {
        let key = self.layout.index();
        let lookup = self.client.watch(&key, self.watched, wait).await?;
        let revision = revision(&lookup);
        if self.revision == Some(revision) {
            self.continue_from(lookup.index);
            return Ok(None);
        }
        self.follow(lookup).await.map(Some)
    }

    /// Fetches what the index leads to.
    async fn follow(&mut self, mut lookup: Lookup) -> Result<StoredConfig, StoreError> {
        for _ in 0..Self::TRIES {
            let index = lookup.index;
            let revision = revision(&lookup);
            if let Some(stored) = self.assemble(lookup.entry).await? {
                self.continue_from(index);
                self.revision = Some(revision);
                return Ok(stored);
            }
            lookup = self.client.get(&self.layout.index()).await?;
        }
        let reason = "a shard that the index names is missing";
        Err(StoreError::Unreadable(reason.into()))
    }

    /// A store that went back begins its watches anew, as its interface asks.
    fn continue_from(&mut self, index: WatchIndex) {
        self.watched = if index < self.watched {
            WatchIndex::default()
        } else {
            index
        };
    }

    /// Fetches the shards of an index; `None` where one was deleted since, which a newer index
    /// explains.
    async fn assemble(&mut self, entry: Option<Entry>) -> Result<Option<StoredConfig>, StoreError> {
        let Some(entry) = entry else {
            self.shards.clear();
            return Ok(Some(StoredConfig::default()));
        };
        let unreadable = |error: &dyn std::fmt::Display| StoreError::Unreadable(error.to_string());
        let index = Index::decode(&entry.value).map_err(|error| unreadable(&error))?;
        let mut found: Vec<Option<Arc<Shard>>> = Vec::with_capacity(index.shards.len());
        for keys in index.shards.chunks(Self::PARALLEL_FETCHES) {
            let calls = future::try_join_all(keys.iter().map(|key| self.shard(key)));
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

    /// One shard, from the last read or from the store.
    async fn shard(&self, key: &ShardKey) -> Result<Option<Arc<Shard>>, StoreError> {
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

fn revision(lookup: &Lookup) -> Revision {
    lookup
        .entry
        .as_ref()
        .map_or(Revision::ABSENT, |entry| entry.revision)
}
