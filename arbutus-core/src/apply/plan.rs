use std::{collections::BTreeMap, sync::Arc};

use super::{
    Base, ChangeRecord, Index, PastChange, Services, Shard, ShardKey, ShardValue, StoredConfig,
    StoredService,
};
use crate::{config::ConfigVersion, ident::ServiceTag};

/// The values to write to put a configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The new index; its version is above the stored version.
    pub index: Index,
    /// Shards that the store does not hold yet.
    pub shards: Vec<ShardValue>,
    /// Shards that no index refers to once the new index is written.
    pub obsolete: Vec<ShardKey>,
}

/// Reason why no plan can be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanError {
    /// The store already holds the desired configuration.
    NothingToDo,
    /// A shard would exceed [`Shard::MAX_BYTES`].
    TooLarge {
        /// Number of the shard.
        shard: u32,
        /// Encoded size of the shard in bytes.
        bytes: usize,
    },
}

impl Plan {
    /// Plans the change from `stored` to `desired`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is nothing to change or a shard would be too large.
    pub fn new(
        stored: &StoredConfig,
        base: &Base,
        desired: &Services,
        change: &ChangeRecord,
    ) -> Result<Self, PlanError> {
        if stored.plain_services() == *desired && stored.index.is_some() {
            return Err(PlanError::NothingToDo);
        }
        let version = stored.version().max(base.highest_seen).next();
        let shards = encode_shards(&assign_versions(stored, desired, version));
        if let Some(large) = shards.iter().find(|it| it.bytes.len() > Shard::MAX_BYTES) {
            return Err(PlanError::TooLarge {
                shard: large.key.number,
                bytes: large.bytes.len(),
            });
        }
        let keys: Vec<_> = shards.iter().map(|shard| shard.key.clone()).collect();
        let (retired, obsolete) = split_retired(stored, &keys);
        let index = Index {
            format: Index::FORMAT,
            version,
            change: change.clone(),
            history: history(stored),
            shards: keys,
            retired,
        };
        let present = |key: &ShardKey| stored.shards().any(|it| it == key);
        let missing = shards.into_iter().filter(|shard| !present(&shard.key));
        Ok(Self {
            index,
            shards: missing.collect(),
            obsolete,
        })
    }
}

/// Returns the desired services, each with the version that last changed it.
fn assign_versions(
    stored: &StoredConfig,
    desired: &Services,
    version: ConfigVersion,
) -> BTreeMap<ServiceTag, StoredService> {
    let with_version = |(tag, service): (&ServiceTag, &Arc<crate::config::Service>)| {
        let unchanged = stored.services.get(tag).filter(|it| it.service == *service);
        let changed_at = unchanged.map_or(version, |it| it.changed_at);
        let service = service.clone();
        (
            *tag,
            StoredService {
                changed_at,
                service,
            },
        )
    };
    desired.iter().map(with_version).collect()
}

fn encode_shards(services: &BTreeMap<ServiceTag, StoredService>) -> Vec<ShardValue> {
    let mut shards = BTreeMap::<u32, Shard>::new();
    for (tag, service) in services {
        let shard = shards.entry(Shard::number_of(*tag)).or_default();
        shard.services.push(service.clone());
    }
    shards
        .iter()
        .map(|(number, shard)| shard.encode(*number))
        .collect()
}

fn history(stored: &StoredConfig) -> Vec<PastChange> {
    let changes = stored.index.iter().flat_map(Index::changes);
    changes.take(Index::HISTORY_LIMIT).collect()
}

/// Splits the shards that are not in force into those to keep and those to delete.
fn split_retired(stored: &StoredConfig, in_force: &[ShardKey]) -> (Vec<ShardKey>, Vec<ShardKey>) {
    let replaced = stored.shards();
    let earlier = stored.index.iter().flat_map(|index| &index.retired);
    let mut retired: Vec<_> = replaced
        .chain(earlier)
        .filter(|key| !in_force.contains(key))
        .cloned()
        .collect();
    // One change may replace every shard, so the complete previous set is kept for readers that
    // still hold the previous index.
    let kept = Index::RETIRED_SHARD_LIMIT.max(stored.shards().count());
    let obsolete = retired.split_off(kept.min(retired.len()));
    (retired, obsolete)
}
