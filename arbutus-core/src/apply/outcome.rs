use std::sync::Arc;

use super::{Difference, ShardKey};
use crate::config::ConfigVersion;

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It is committed.
    Accepted {
        /// The version it made.
        version: ConfigVersion,
        /// The version in force, where another change has followed already.
        superseded_by: Option<ConfigVersion>,
        /// Shards that no reader needs any longer and that may be deleted.
        obsolete: Vec<ShardKey>,
    },
    /// The store holds just this configuration already.
    AlreadyInForce {
        /// Its version.
        version: ConfigVersion,
    },
    /// Another change came first; nothing was overwritten.
    LostRace {
        /// The version in force.
        version: ConfigVersion,
        /// Who made it.
        by: Arc<str>,
        /// What it changed against the base.
        theirs: Vec<Difference>,
        /// Shards of this change that nothing refers to and that may be deleted.
        obsolete: Vec<ShardKey>,
    },
    /// The change would remove services, which was not allowed.
    RemovalRefused {
        /// Their names.
        services: Vec<Arc<str>>,
    },
    /// The change cannot be written.
    TooLarge {
        /// The shard that would pass the limit.
        shard: u32,
        /// Its size.
        bytes: usize,
    },
    /// It is not committed and will not be.
    NotAccepted {
        /// Why.
        reason: Arc<str>,
    },
    /// It may be committed, now or later; a later read will tell.
    Unknown {
        /// Why.
        reason: Arc<str>,
    },
}

impl Outcome {
    /// Shards that may be deleted.
    #[must_use]
    pub fn obsolete(&self) -> &[ShardKey] {
        match self {
            Self::Accepted { obsolete, .. } | Self::LostRace { obsolete, .. } => obsolete,
            _ => &[],
        }
    }
}
