use std::{net::SocketAddrV4, sync::Arc};

use crate::{
    ident::{Incarnation, ServiceTag},
    roster::{AgentRecord, AgentState},
};

/// Who an agent is, from its settings.
#[derive(Debug, Clone)]
pub struct AgentIdentity {
    /// The backend server's name, as the operator's files use it.
    pub name: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// The name of the service whose flows it takes.
    pub service: Arc<str>,
    /// Where it takes tunnel datagrams.
    pub tunnel: SocketAddrV4,
    /// Where it takes control connections; also the source of those it opens.
    pub control: SocketAddrV4,
    /// The port of its admin endpoint, at the IP address of `control`.
    pub admin_port: u16,
    /// This life of the process, unless a balancer knows a higher one at its address.
    pub incarnation: Incarnation,
    /// Control addresses of some balancers.
    pub balancers: Vec<SocketAddrV4>,
}

impl AgentIdentity {
    pub(super) fn record(&self) -> AgentRecord {
        AgentRecord {
            tunnel: self.tunnel,
            control: self.control,
            name: self.name.clone(),
            admin_port: self.admin_port,
            failure_domain: self.failure_domain.clone(),
            tag: ServiceTag::of_name(&self.service),
            incarnation: self.incarnation,
            version: 1,
            state: AgentState::Ready,
            weight_percent: 100,
        }
    }
}
