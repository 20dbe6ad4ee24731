use std::{net::SocketAddr, net::SocketAddrV4, sync::Arc};

use arbutus_core::{config::Snapshot, roster::AgentRecord};
use serde::{Deserialize, Serialize};

use super::state_name;

/// An agent, as shown in the body of `/roster`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AgentView {
    /// The backend server's name.
    pub name: Arc<str>,
    /// The service's name, or its tag if the service is not in the configuration.
    pub service: Arc<str>,
    /// The tunnel address.
    pub tunnel: SocketAddrV4,
    /// The control address.
    pub control: SocketAddrV4,
    /// The address of the admin port.
    pub admin: SocketAddr,
    /// The failure domain.
    pub failure_domain: Arc<str>,
    /// The incarnation of the agent at its address.
    pub incarnation: u64,
    /// The version of the agent's roster record.
    pub version: u32,
    /// The state, in lower case.
    pub state: Arc<str>,
    /// The agent's share of new flows, in percent of an equal share.
    pub weight_percent: u32,
}

impl AgentView {
    /// Creates the view of an agent's record, with the service name from `config`.
    #[must_use]
    pub fn from_record(record: &AgentRecord, config: &Snapshot) -> Self {
        let service = config.services.get(&record.tag);
        Self {
            name: record.name.clone(),
            service: service.map_or_else(
                || Arc::from(record.tag.to_string()),
                |service| service.name.clone(),
            ),
            tunnel: record.tunnel,
            control: record.control,
            admin: (*record.control.ip(), record.admin_port).into(),
            failure_domain: record.failure_domain.clone(),
            incarnation: record.incarnation.get(),
            version: record.version,
            state: Arc::from(state_name::of(record.state)),
            weight_percent: record.weight_percent,
        }
    }
}
