use std::{net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::ident::{Incarnation, ServiceTag};

/// An agent's entry in the platform's store, which exists while the agent's lease is valid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentListing {
    /// The address where the agent receives relayed packets. It is also the key of the entry.
    pub agent: SocketAddrV4,
    /// The agent's service.
    pub service: ServiceTag,
    /// The agent's failure domain.
    pub failure_domain: Arc<str>,
    /// The agent's incarnation at this address.
    pub incarnation: Incarnation,
}
