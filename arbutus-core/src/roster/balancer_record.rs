use std::{net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{AgentState, Rank};
use crate::ident::Incarnation;

/// What is known of one balancer.
///
/// Records of one control address merge as those of agents do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerRecord {
    /// Where it takes control connections; the record's key.
    pub control: SocketAddrV4,
    /// Where it takes tunnel datagrams of agents.
    pub tunnel: SocketAddrV4,
    /// Its name in its settings.
    pub name: Arc<str>,
    /// The port of its admin endpoint, at the IP address of `control`.
    pub admin_port: u16,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Its life at this address.
    pub incarnation: Incarnation,
    /// Rises with each change that the balancer makes to its own record.
    pub version: u32,
    /// What is said of it.
    pub state: AgentState,
}

impl BalancerRecord {
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
