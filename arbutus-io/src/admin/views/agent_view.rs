use std::{net::SocketAddr, net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize};

/// An agent in the body of `/roster`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AgentView {
    /// The backend server's name.
    pub name: Arc<str>,
    /// The service's name, or its tag where the configuration does not know it.
    pub service: Arc<str>,
    /// Its tunnel address.
    pub tunnel: SocketAddrV4,
    /// Its control address.
    pub control: SocketAddrV4,
    /// Its admin port.
    pub admin: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Its life at its address.
    pub incarnation: u64,
    /// The version of its record.
    pub version: u32,
    /// Its state, in lower case.
    pub state: Arc<str>,
    /// Its share of new flows, in percent of an equal one.
    pub weight_percent: u32,
}
