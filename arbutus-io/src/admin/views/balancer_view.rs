use std::{net::SocketAddr, net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize};

/// A balancer in the body of `/roster`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BalancerView {
    /// Its name.
    pub name: Arc<str>,
    /// Its admin port.
    pub admin: SocketAddr,
    /// Its control address.
    pub control: SocketAddrV4,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Its state, in lower case.
    pub state: Arc<str>,
}
