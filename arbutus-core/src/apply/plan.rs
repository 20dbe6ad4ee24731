use std::{collections::BTreeMap, sync::Arc};

use super::{
    Base, ChangeRecord, Index, PastChange, Services, Shard, ShardKey, ShardValue, StoredConfig,
    StoredService,
};
use crate::{config::ConfigVersion, ident::ServiceTag};

/// What has to be written to bring a configuration into force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The new index; its version is above the stored one.
    pub index: Index,
    /// The shards that the store lacks.
    pub shards: Vec<ShardValue>,
    /// Shards that nothing refers to once the index is written.
    pub obsolete: Vec<ShardKey>,
}

/// Why no plan was made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanError {
    /// The store holds just this configuration.
    NothingToDo,
    /// A shard would pass [`Shard::MAX_BYTES`].
    TooLarge {
        /// Its number.
        shard: u32,
        /// Its size.
        bytes: usize,
    },
}

impl Plan {
    /// Plans how to get from `stored` to `desired`.
    ///
    /// # Errors
    ///
    /// Fails where nothing is to be done or a shard would be too large.
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
        let shards = encode_shards(&dated(stored, desired, version));
        if let Some(large) = shards.iter().find(|it| it.bytes.len() > Shard::MAX_BYTES) {
            return Err(PlanError::TooLarge {
                shard: large.key.number,
                bytes: large.bytes.len(),
            });
        }
        let keys: Vec<_> = shards.iter().map(|shard| shard.key.clone()).collect();
        let (retired, obsolete) = retire(stored, &keys);
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

/// The desired services, each with the version that last changed it.
fn dated(
    stored: &StoredConfig,
    desired: &Services,
    version: ConfigVersion,
) -> BTreeMap<ServiceTag, StoredService> {
    let date = |(tag, service): (&ServiceTag, &Arc<crate::config::Service>)| {
        let known = stored.services.get(tag).filter(|it| it.service == *service);
        let changed_at = known.map_or(version, |it| it.changed_at);
        let service = service.clone();
        (
            *tag,
            StoredService {
                changed_at,
                service,
            },
        )
    };
    desired.iter().map(date).collect()
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

/// Splits the shards out of force into those still kept and those that may go.
fn retire(stored: &StoredConfig, in_force: &[ShardKey]) -> (Vec<ShardKey>, Vec<ShardKey>) {
    let replaced = stored.shards();
    let earlier = stored.index.iter().flat_map(|index| &index.retired);
    let mut retired: Vec<_> = replaced
        .chain(earlier)
        .filter(|key| !in_force.contains(key))
        .cloned()
        .collect();
    // One change may replace every shard; a whole set of them is kept for its readers.
    let kept = Index::RETIRED_SHARD_LIMIT.max(stored.shards().count());
    let obsolete = retired.split_off(kept.min(retired.len()));
    (retired, obsolete)
}
