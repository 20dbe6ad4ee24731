use std::{net::SocketAddrV4, sync::Arc};

use crate::{
    ident::{Incarnation, ServiceTag},
    roster::{AgentRecord, AgentState},
};

/// The identity of an agent, from its settings.
#[derive(Debug, Clone)]
pub struct AgentIdentity {
    /// The name of the backend server, as in the operator's files.
    pub name: Arc<str>,
    /// The agent's failure domain.
    pub failure_domain: Arc<str>,
    /// The name of the service whose flows the agent takes.
    pub service: Arc<str>,
    /// The address at which the agent receives tunnel datagrams.
    pub tunnel: SocketAddrV4,
    /// The address at which the agent accepts control connections; also the source address of those
    /// it opens.
    pub control: SocketAddrV4,
    /// The port of the admin endpoint, at the IP address of `control`.
    pub admin_port: u16,
    /// The incarnation of this process, replaced if a balancer holds a higher one for its address.
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
