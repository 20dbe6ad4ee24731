use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::route;

/// The two endpoints of a flow as the caller sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FlowId {
    /// The caller's address.
    pub caller: SocketAddrV4,
    /// The service address that the caller uses.
    pub service: SocketAddrV4,
}

impl FlowId {
    /// Returns the hash of the flow, which is the same in every process.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let mut end = [0; 6];
        end[..4].copy_from_slice(&self.service.ip().octets());
        end[4..].copy_from_slice(&self.service.port().to_be_bytes());
        route::flow_hash(self.caller, &end)
    }
}

impl std::fmt::Display for FlowId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}>{}", self.caller, self.service)
    }
}
