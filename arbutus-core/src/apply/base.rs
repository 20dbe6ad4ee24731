use super::{ChangeId, Services};
use crate::config::ConfigVersion;

/// The configuration that the operator edited to produce a change.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Base {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// ID of the change that created this version, if known.
    pub change: Option<ChangeId>,
    /// Services of the configuration.
    pub services: Services,
    /// Highest version that the operator has seen in the store or at any node; a new version is
    /// always higher.
    ///
    /// This keeps versions rising after the store has lost its data.
    pub highest_seen: ConfigVersion,
}
