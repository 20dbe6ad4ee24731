use super::{ChangeId, Services};
use crate::config::ConfigVersion;

/// The configuration that the operator started from.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Base {
    /// Its version.
    pub version: ConfigVersion,
    /// The change that made it, where it is known.
    pub change: Option<ChangeId>,
    /// Its services.
    pub services: Services,
    /// The highest version that the operator has seen anywhere; a new one is above it.
    pub highest_seen: ConfigVersion,
}
