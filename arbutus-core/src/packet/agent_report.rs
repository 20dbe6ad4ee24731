use std::{net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize};

use super::AgentListing;
use crate::{
    config::ConfigVersion,
    ident::{Incarnation, ServiceTag},
};

/// Whether an agent takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentStatus {
    /// It has not heard of its backend server yet, or no longer.
    Waiting,
    /// It takes new flows.
    Ready,
    /// Its backend server drains, or it stops itself; open flows go on.
    Draining,
    /// Its backend server has ended; it holds no flow.
    Ended,
}

/// What an agent tells the balancers from which it has packets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Where the agent takes relayed packets.
    pub agent: SocketAddrV4,
    /// Its service.
    pub service: ServiceTag,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Its life at this address.
    pub incarnation: Incarnation,
    /// Rises with each report of one incarnation.
    pub sequence: u32,
    /// Whether it takes new flows.
    pub status: AgentStatus,
    /// Requests that its backend server works on at once.
    pub slots: u32,
    /// Open flows.
    pub flows: u32,
    /// Flows on which the caller waits for an answer.
    pub pending_requests: u32,
    /// How much longer the backend server is slow after its start, in milliseconds.
    pub warmup_ms: u32,
    /// The highest configuration version that any balancer's packet named.
    pub config: ConfigVersion,
    /// The balancer whose packet named it.
    pub config_source: Option<SocketAddrV4>,
}

impl AgentReport {
    /// What the store would hold of the agent.
    #[must_use]
    pub fn listing(&self) -> AgentListing {
        AgentListing {
            agent: self.agent,
            service: self.service,
            failure_domain: self.failure_domain.clone(),
            incarnation: self.incarnation,
        }
    }
}
