use std::{net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{AgentState, Rank};
use crate::ident::{Incarnation, ServiceTag};

/// What is known of one agent.
///
/// Records of one tunnel address merge by `(incarnation, version, state)`, the highest wins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentRecord {
    /// Where it takes tunnel datagrams; the record's key.
    pub tunnel: SocketAddrV4,
    /// Where it takes control connections of balancers and peers.
    pub control: SocketAddrV4,
    /// The backend server's name, as the operator's files use it.
    pub name: Arc<str>,
    /// The port of its admin endpoint, at the IP address of `control`.
    pub admin_port: u16,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// The service whose flows it takes.
    pub tag: ServiceTag,
    /// Its life at this address.
    pub incarnation: Incarnation,
    /// Rises with each change that the agent makes to its own record.
    pub version: u32,
    /// What is said of it.
    pub state: AgentState,
    /// Its share of new flows against others of the service, in percent of an equal one.
    pub weight_percent: u32,
}

impl AgentRecord {
    /// What decides between two copies of the record.
    #[must_use]
    pub const fn rank(&self) -> Rank {
        Rank {
            incarnation: self.incarnation,
            version: self.version,
            state: self.state,
        }
    }
}
