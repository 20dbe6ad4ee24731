use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{ConfigVersion, Service};

/// A service with the version that last changed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedService {
    /// At least the version that last changed the service, and at most the version in which it was
    /// read from the store.
    pub version: ConfigVersion,
    /// The service.
    pub service: Arc<Service>,
}
