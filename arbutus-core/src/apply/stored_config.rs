use std::sync::Arc;

use indexmap::IndexMap;

use super::{Index, Services, ShardKey, StoredService};
use crate::{
    config::{ConfigVersion, Snapshot},
    ident::ServiceTag,
};

/// Modification number that the store assigns to a key; 0 if the key is absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Revision(u64);

impl Revision {
    /// Revision of an absent key.
    pub const ABSENT: Self = Self(0);

    /// Creates a revision from the store's number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the store's number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// The complete configuration as read from the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoredConfig {
    /// Revision of the index that was read.
    pub revision: Revision,
    /// The index; `None` if the store holds no configuration yet.
    pub index: Option<Index>,
    /// Services keyed by service tag.
    pub services: IndexMap<ServiceTag, StoredService>,
}

impl StoredConfig {
    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.index
            .as_ref()
            .map_or(ConfigVersion::NONE, |it| it.version)
    }

    /// Returns the services without the versions that last changed them.
    #[must_use]
    pub fn plain_services(&self) -> Services {
        let without_version = |(tag, it): (&ServiceTag, &StoredService)| (*tag, it.service.clone());
        self.services.iter().map(without_version).collect()
    }

    /// Returns the configuration in the form that nodes use.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            version: self.version(),
            services: self.plain_services(),
        }
    }

    /// Returns the author of the version in force; empty if the store holds no configuration.
    #[must_use]
    pub fn author(&self) -> Arc<str> {
        let by = self.index.as_ref().map(|index| index.change.by.clone());
        by.unwrap_or_default()
    }

    /// Returns the shards in force.
    pub fn shards(&self) -> impl Iterator<Item = &ShardKey> {
        self.index.iter().flat_map(|index| &index.shards)
    }
}
