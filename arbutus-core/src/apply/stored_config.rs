use std::sync::Arc;

use indexmap::IndexMap;

use super::{Index, Services, ShardKey, StoredService};
use crate::{
    config::{ConfigVersion, Snapshot},
    ident::ServiceTag,
};

/// The store's own number of a value's state; 0 where the key is absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Revision(u64);

impl Revision {
    /// The key is absent.
    pub const ABSENT: Self = Self(0);

    /// Makes a revision from the store's number.
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

/// The configuration as it was read from the store, whole.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoredConfig {
    /// The revision of the index that was read.
    pub revision: Revision,
    /// The index; `None` where the store holds no configuration yet.
    pub index: Option<Index>,
    /// The services by their tags.
    pub services: IndexMap<ServiceTag, StoredService>,
}

impl StoredConfig {
    /// The version in force.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.index
            .as_ref()
            .map_or(ConfigVersion::NONE, |it| it.version)
    }

    /// The services without the versions that changed them.
    #[must_use]
    pub fn plain_services(&self) -> Services {
        let plain = |(tag, it): (&ServiceTag, &StoredService)| (*tag, it.service.clone());
        self.services.iter().map(plain).collect()
    }

    /// The configuration as nodes hold it.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            version: self.version(),
            services: self.plain_services(),
        }
    }

    /// Who made the version in force.
    #[must_use]
    pub fn author(&self) -> Arc<str> {
        let by = self.index.as_ref().map(|index| index.change.by.clone());
        by.unwrap_or_default()
    }

    /// The shards in force.
    pub fn shards(&self) -> impl Iterator<Item = &ShardKey> {
        self.index.iter().flat_map(|index| &index.shards)
    }
}
