use serde::{Deserialize, Serialize};

/// What the fabric has done with datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FabricCounts {
    /// Datagrams from callers.
    pub from_callers: u64,
    /// Datagrams from balancers.
    pub from_balancers: u64,
    /// Datagrams lost on purpose.
    pub lost: u64,
    /// Datagrams delivered twice on purpose.
    pub duplicated: u64,
    /// Datagrams that no balancer could be found for.
    pub no_balancer: u64,
    /// Datagrams from balancers that cannot be read, or that name no service address.
    pub unreadable: u64,
}
