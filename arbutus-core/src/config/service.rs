use std::{net::SocketAddrV4, sync::Arc};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{BackendOverride, BalanceMode, RequestPolicy};
use crate::ident::ServiceTag;

/// A set of backend servers that callers reach through one address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name; unique, and its [`ServiceTag`] is too.
    pub name: Arc<str>,
    /// The address that callers use; unique among services.
    pub address: SocketAddrV4,
    /// What it weighs more: unbroken flows or an even load.
    pub balance: BalanceMode,
    /// Limits on its requests and connections.
    pub requests: RequestPolicy,
    /// The operator's word on single backend servers, by their names.
    pub backend_servers: IndexMap<Arc<str>, BackendOverride>,
}

impl Service {
    /// Makes a service with default limits.
    #[must_use]
    pub fn new(name: &str, address: SocketAddrV4) -> Self {
        Self {
            name: Arc::from(name),
            address,
            balance: BalanceMode::default(),
            requests: RequestPolicy::new(),
            backend_servers: IndexMap::new(),
        }
    }

    /// The service's number on the wire.
    #[must_use]
    pub fn tag(&self) -> ServiceTag {
        ServiceTag::of_name(&self.name)
    }

    /// The operator's word on the backend server called `name`.
    #[must_use]
    pub fn backend_override(&self, name: &str) -> BackendOverride {
        self.backend_servers.get(name).cloned().unwrap_or_default()
    }
}
