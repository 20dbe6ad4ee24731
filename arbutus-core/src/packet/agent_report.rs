use std::{net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize};

use super::AgentListing;
use crate::{
    config::ConfigVersion,
    ident::{Incarnation, ServiceTag},
};

/// Whether an agent accepts new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentStatus {
    /// The agent has no recent heartbeat of its backend server, or the backend server does not
    /// respond to opening segments.
    Waiting,
    /// The agent accepts new flows.
    Ready,
    /// The backend server is draining or the agent is stopping. Open flows continue.
    Draining,
    /// The backend server has ended, so the agent owns no flow.
    Ended,
}

/// An agent's report of its own state to the balancers that send it packets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The address where the agent receives relayed packets.
    pub agent: SocketAddrV4,
    /// The agent's service.
    pub service: ServiceTag,
    /// The agent's failure domain.
    pub failure_domain: Arc<str>,
    /// The agent's incarnation at this address.
    pub incarnation: Incarnation,
    /// The report's sequence number, which rises with each report of one incarnation.
    pub sequence: u32,
    /// Whether the agent accepts new flows.
    pub status: AgentStatus,
    /// The number of requests that the backend server processes concurrently.
    pub slots: u32,
    /// The number of open flows.
    pub flows: u32,
    /// The number of flows on which the caller waits for an answer.
    pub pending_requests: u32,
    /// The remaining time of reduced performance after the backend server's start, in
    /// milliseconds.
    pub warmup_ms: u32,
    /// The highest configuration version in any packet that the agent received from a balancer.
    pub config: ConfigVersion,
    /// The balancer whose packet carried that version.
    pub config_source: Option<SocketAddrV4>,
}

impl AgentReport {
    /// Returns the listing that the agent would have in the store.
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
