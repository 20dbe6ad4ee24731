use std::{net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{AgentState, Rank};
use crate::ident::Incarnation;

/// The record of a balancer.
///
/// Records with the same control address are merged in the same way as those of agents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerRecord {
    /// The address at which the balancer accepts control connections; the key of the record.
    pub control: SocketAddrV4,
    /// The address at which the balancer receives tunnel datagrams from agents.
    pub tunnel: SocketAddrV4,
    /// The balancer's name in its settings.
    pub name: Arc<str>,
    /// The port of the admin endpoint, at the IP address of `control`.
    pub admin_port: u16,
    /// The balancer's failure domain.
    pub failure_domain: Arc<str>,
    /// The balancer's incarnation at this address.
    pub incarnation: Incarnation,
    /// Version of the record, increased by each change that the balancer makes.
    pub version: u32,
    /// The balancer's state.
    pub state: AgentState,
}

impl BalancerRecord {
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
