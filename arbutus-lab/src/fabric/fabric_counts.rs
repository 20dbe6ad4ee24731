use serde::{Deserialize, Serialize};

/// Counters of the datagrams that the fabric has handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FabricCounts {
    /// Datagrams received from callers.
    pub from_callers: u64,
    /// Datagrams received from balancers.
    pub from_balancers: u64,
    /// Datagrams dropped because of a commanded fault.
    pub lost: u64,
    /// Datagrams duplicated because of a commanded fault.
    pub duplicated: u64,
    /// Datagrams dropped because there was no balancer.
    pub no_balancer: u64,
    /// Datagrams from balancers that cannot be decoded, or whose source is not a service address.
    pub unreadable: u64,
}
