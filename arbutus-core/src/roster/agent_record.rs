use std::{net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{AgentState, Rank};
use crate::ident::{Incarnation, ServiceTag};

/// The record of an agent.
///
/// Records with the same tunnel address are merged by `(incarnation, version, state)`: the highest
/// wins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentRecord {
    /// The address at which the agent receives tunnel datagrams; the key of the record.
    pub tunnel: SocketAddrV4,
    /// The address at which the agent accepts control connections from balancers and peers.
    pub control: SocketAddrV4,
    /// The name of the backend server, as in the operator's files.
    pub name: Arc<str>,
    /// The port of the admin endpoint, at the IP address of `control`.
    pub admin_port: u16,
    /// The agent's failure domain.
    pub failure_domain: Arc<str>,
    /// The service whose flows the agent takes.
    pub tag: ServiceTag,
    /// The agent's incarnation at this address.
    pub incarnation: Incarnation,
    /// Version of the record, increased by each change that the agent makes.
    pub version: u32,
    /// The agent's state.
    pub state: AgentState,
    /// The agent's share of new flows relative to the service's other agents, in percent of an
    /// equal share.
    pub weight_percent: u32,
}

impl AgentRecord {
    /// Returns the rank that decides between two copies of the record.
    #[must_use]
    pub const fn rank(&self) -> Rank {
        Rank {
            incarnation: self.incarnation,
            version: self.version,
            state: self.state,
        }
    }
}
