use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{ConfigVersion, Service};
use crate::ident::ServiceTag;

/// One complete accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Services keyed by service tag.
    pub services: IndexMap<ServiceTag, Arc<Service>>,
}

impl Snapshot {
    /// Creates a configuration of `services`.
    #[must_use]
    pub fn new(version: ConfigVersion, services: impl IntoIterator<Item = Service>) -> Self {
        let services = services
            .into_iter()
            .map(|service| (service.tag(), Arc::new(service)))
            .collect();
        Self { version, services }
    }
}
