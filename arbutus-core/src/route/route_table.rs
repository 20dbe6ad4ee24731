use std::{net::SocketAddrV4, sync::Arc};

use indexmap::IndexMap;

use super::ServiceRoute;
use crate::{
    config::{ConfigVersion, Snapshot},
    ident::ServiceTag,
    roster::AgentRecord,
};

/// Routing table of a balancer: the service addresses with the agents that accept new flows.
///
/// A table is immutable. [`RouteTable::with_routes`] creates the next table, which shares all
/// unchanged services with this one.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    version: ConfigVersion,
    /// Services keyed by their addresses.
    services: IndexMap<SocketAddrV4, Arc<ServiceRoute>>,
}

impl RouteTable {
    /// Creates a table without services.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a table of all services in `snapshot`, with the agents in `records`.
    #[must_use]
    pub fn build<'a>(
        snapshot: &Snapshot,
        records: impl IntoIterator<Item = &'a AgentRecord>,
    ) -> Self {
        let mut by_tag: IndexMap<ServiceTag, Vec<&AgentRecord>> = IndexMap::new();
        for record in records {
            by_tag.entry(record.tag).or_default().push(record);
        }
        let services = snapshot
            .services
            .iter()
            .map(|(tag, service)| {
                let records = by_tag.get(tag).map(Vec::as_slice).unwrap_or_default();
                let route = ServiceRoute::build(service, records.iter().copied());
                (service.address, Arc::new(route))
            })
            .collect();
        Self {
            version: snapshot.version,
            services,
        }
    }

    /// Returns a copy of the table in which `changed` replaces the services with the same
    /// addresses.
    #[must_use]
    pub fn with_routes(&self, changed: impl IntoIterator<Item = ServiceRoute>) -> Self {
        let mut table = self.clone();
        for route in changed {
            table.services.insert(route.address(), Arc::new(route));
        }
        table
    }

    /// Returns the version of the configuration that the table was built from.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the service with the address `address`.
    #[must_use]
    pub fn get(&self, address: SocketAddrV4) -> Option<&ServiceRoute> {
        self.services.get(&address).map(Arc::as_ref)
    }

    /// Returns the services in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<ServiceRoute>> {
        self.services.values()
    }
}
