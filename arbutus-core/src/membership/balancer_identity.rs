use std::{net::SocketAddrV4, sync::Arc};

use crate::{
    ident::Incarnation,
    roster::{AgentState, BalancerRecord},
};

/// The identity of a balancer, from its settings.
#[derive(Debug, Clone)]
pub struct BalancerIdentity {
    /// The balancer's name.
    pub name: Arc<str>,
    /// The balancer's failure domain.
    pub failure_domain: Arc<str>,
    /// The address at which the balancer accepts control connections; also the source address of
    /// those it opens.
    pub control: SocketAddrV4,
    /// The address at which the balancer receives tunnel datagrams from agents.
    pub tunnel: SocketAddrV4,
    /// The port of the admin endpoint, at the IP address of `control`.
    pub admin_port: u16,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// Control addresses of some other balancers.
    pub peers: Vec<SocketAddrV4>,
}

impl BalancerIdentity {
    pub(super) fn record(&self) -> BalancerRecord {
        BalancerRecord {
            control: self.control,
            tunnel: self.tunnel,
            name: self.name.clone(),
            admin_port: self.admin_port,
            failure_domain: self.failure_domain.clone(),
            incarnation: self.incarnation,
            version: 1,
            state: AgentState::Ready,
        }
    }
}
