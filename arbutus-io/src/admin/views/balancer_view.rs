use std::{net::SocketAddr, net::SocketAddrV4, sync::Arc};

use arbutus_core::roster::BalancerRecord;
use serde::{Deserialize, Serialize};

use super::state_name;

/// A balancer, as shown in the body of `/roster`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BalancerView {
    /// The balancer's name.
    pub name: Arc<str>,
    /// The address of the admin port.
    pub admin: SocketAddr,
    /// The control address.
    pub control: SocketAddrV4,
    /// The failure domain.
    pub failure_domain: Arc<str>,
    /// The state, in lower case.
    pub state: Arc<str>,
}

impl BalancerView {
    /// Creates the view of a balancer's record.
    #[must_use]
    pub fn from_record(record: &BalancerRecord) -> Self {
        Self {
            name: record.name.clone(),
            admin: (*record.control.ip(), record.admin_port).into(),
            control: record.control,
            failure_domain: record.failure_domain.clone(),
            state: Arc::from(state_name::of(record.state)),
        }
    }
}
