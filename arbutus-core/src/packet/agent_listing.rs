use std::{net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::ident::{Incarnation, ServiceTag};

/// What the platform's store holds of an agent while its lease runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentListing {
    /// Where the agent takes relayed packets; the listing's key.
    pub agent: SocketAddrV4,
    /// Its service.
    pub service: ServiceTag,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Its life at this address.
    pub incarnation: Incarnation,
}
