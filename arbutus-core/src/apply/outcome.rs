use std::sync::Arc;

use super::{Difference, ShardKey};
use crate::config::ConfigVersion;

/// Outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change is committed.
    Accepted {
        /// Version that the change created.
        version: ConfigVersion,
        /// Version in force, if another change has followed already.
        superseded_by: Option<ConfigVersion>,
        /// Shards that no reader needs any more and that may be deleted.
        obsolete: Vec<ShardKey>,
    },
    /// The store already holds the desired configuration.
    AlreadyInForce {
        /// Version in force.
        version: ConfigVersion,
    },
    /// Another change was committed first; nothing was overwritten.
    LostRace {
        /// Version in force.
        version: ConfigVersion,
        /// Author of that version.
        by: Arc<str>,
        /// Differences of that version from the base.
        theirs: Vec<Difference>,
        /// Shards of this change that no index refers to and that may be deleted.
        obsolete: Vec<ShardKey>,
    },
    /// The change would remove services without permission to do so.
    RemovalRefused {
        /// Names of the services.
        services: Vec<Arc<str>>,
    },
    /// A shard of the change exceeds the size limit of the store.
    TooLarge {
        /// Number of the shard.
        shard: u32,
        /// Encoded size of the shard in bytes.
        bytes: usize,
    },
    /// The change is not committed and will not be.
    NotAccepted {
        /// Reason of the failure.
        reason: Arc<str>,
    },
    /// The change may be committed already or may still be committed; a later read of the store
    /// shows which.
    Unknown {
        /// Reason why the outcome is unknown.
        reason: Arc<str>,
    },
}

impl Outcome {
    /// Returns the shards that may be deleted.
    #[must_use]
    pub fn obsolete(&self) -> &[ShardKey] {
        match self {
            Self::Accepted { obsolete, .. } | Self::LostRace { obsolete, .. } => obsolete,
            _ => &[],
        }
    }
}
