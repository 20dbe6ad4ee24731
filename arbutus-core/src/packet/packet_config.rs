use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::PacketRoute;
use crate::config::ConfigVersion;

/// A complete configuration of the routes for packet flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PacketConfig {
    /// The version, which rises with each change, not necessarily by one.
    pub version: ConfigVersion,
    /// The routes by the service address that callers use.
    pub routes: IndexMap<SocketAddrV4, Arc<PacketRoute>>,
    /// How long a flow may be idle before its entry may be removed.
    pub idle_timeout: Duration,
}

impl PacketConfig {
    /// Creates a configuration without routes.
    #[must_use]
    pub fn new(version: ConfigVersion, idle_timeout: Duration) -> Self {
        Self {
            version,
            routes: IndexMap::new(),
            idle_timeout,
        }
    }
}
