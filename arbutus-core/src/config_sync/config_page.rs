use serde::{Deserialize, Serialize};

use super::VersionedService;
use crate::{config::ConfigVersion, ident::ServiceTag};

/// Asks for what has changed after a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPull {
    /// The version that the asking node has.
    pub since: ConfigVersion,
    /// The last tag of the page before, or nothing for the first page.
    pub after: Option<ServiceTag>,
    /// Whether all services are wanted, changed or not.
    pub full: bool,
}

/// What has changed after a version, as much as fits one message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPage {
    /// The version that it starts from.
    pub since: ConfigVersion,
    /// The last tag of the page before, or nothing for the first page.
    pub after: Option<ServiceTag>,
    /// The version that the sender has in force.
    pub version: ConfigVersion,
    /// The digest of the sender's configuration.
    pub digest: u64,
    /// Whether services not named in any page are to be dropped.
    pub full: bool,
    /// Services changed after `since`, in the order of their tags.
    pub services: Vec<VersionedService>,
    /// Services removed after `since`; only on the first page.
    pub removed: Vec<ServiceTag>,
    /// Whether more pages follow.
    pub has_more: bool,
}
