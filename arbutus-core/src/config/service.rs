use std::{net::SocketAddrV4, sync::Arc};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{BackendOverride, BalanceMode, RequestPolicy};
use crate::ident::ServiceTag;

/// A set of backend servers behind one address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service; unique, with a unique [`ServiceTag`].
    pub name: Arc<str>,
    /// Address that callers connect to; unique among services.
    pub address: SocketAddrV4,
    /// Whether flow affinity or an even load is preferred.
    pub balance: BalanceMode,
    /// Limits on requests and connections at each backend server.
    pub requests: RequestPolicy,
    /// The operator's settings for single backend servers, keyed by name.
    pub backend_servers: IndexMap<Arc<str>, BackendOverride>,
}

impl Service {
    /// Creates a service with default limits.
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

    /// Returns the tag that identifies the service on the wire.
    #[must_use]
    pub fn tag(&self) -> ServiceTag {
        ServiceTag::of_name(&self.name)
    }

    /// Returns the operator's settings for the backend server called `name`, or the defaults.
    #[must_use]
    pub fn backend_override(&self, name: &str) -> BackendOverride {
        self.backend_servers.get(name).cloned().unwrap_or_default()
    }
}
