use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{ConfigVersion, Service};

/// A service with the version that last changed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedService {
    /// At least the version that changed it, and at most the one it was read in.
    pub version: ConfigVersion,
    /// The service.
    pub service: Arc<Service>,
}
