use std::{net::SocketAddrV4, sync::Arc};

use crate::{
    ident::Incarnation,
    roster::{AgentState, BalancerRecord},
};

/// Who a balancer is, from its settings.
#[derive(Debug, Clone)]
pub struct BalancerIdentity {
    /// Its name.
    pub name: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Where it takes control connections; also the source of those it opens.
    pub control: SocketAddrV4,
    /// Where it takes tunnel datagrams of agents.
    pub tunnel: SocketAddrV4,
    /// The port of its admin endpoint, at the IP address of `control`.
    pub admin_port: u16,
    /// This life of the process.
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
