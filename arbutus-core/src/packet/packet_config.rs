use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::PacketRoute;
use crate::config::ConfigVersion;

/// A whole configuration of routes for packet flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PacketConfig {
    /// Rises with each change, in uneven steps.
    pub version: ConfigVersion,
    /// Each entry's key is the address that callers use.
    pub routes: IndexMap<SocketAddrV4, Arc<PacketRoute>>,
    /// How long a flow may be idle before it may be forgotten.
    pub idle_timeout: Duration,
}

impl PacketConfig {
    /// Makes a configuration without routes.
    #[must_use]
    pub fn new(version: ConfigVersion, idle_timeout: Duration) -> Self {
        Self {
            version,
            routes: IndexMap::new(),
            idle_timeout,
        }
    }
}
