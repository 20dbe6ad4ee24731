use serde::{Deserialize, Serialize};

use super::VersionedService;
use crate::{config::ConfigVersion, ident::ServiceTag};

/// Request for a page of the changes after a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPull {
    /// Version in force at the requesting node.
    pub since: ConfigVersion,
    /// Last tag of the previous page; `None` requests the first page.
    pub after: Option<ServiceTag>,
    /// Whether all services are requested, changed or not.
    pub full: bool,
}

/// The changes after a version, as many as fit into one message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPage {
    /// Version that the changes start from.
    pub since: ConfigVersion,
    /// Last tag of the previous page; `None` for the first page.
    pub after: Option<ServiceTag>,
    /// Version in force at the sender.
    pub version: ConfigVersion,
    /// Digest of the sender's configuration.
    pub digest: u64,
    /// Whether the pages list all services, so that a service on none of them is removed.
    pub full: bool,
    /// Services changed after `since`, in order of their tags.
    pub services: Vec<VersionedService>,
    /// Services removed after `since`; only on the first page.
    pub removed: Vec<ServiceTag>,
    /// Whether more pages follow.
    pub has_more: bool,
}
