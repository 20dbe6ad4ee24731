use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use super::LinkFaults;

/// A command to the fabric.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "kebab-case")]
pub enum FabricCommand {
    /// Adds a balancer to those over which datagrams are spread.
    AddBalancer {
        /// The address at which the balancer receives datagrams from the fabric.
        address: SocketAddrV4,
    },
    /// Removes a balancer after a delay, since a real network detects a lost balancer only after a
    /// while.
    RemoveBalancer {
        /// The address at which the balancer receives datagrams from the fabric.
        address: SocketAddrV4,
        /// Time until the removal takes effect, in milliseconds.
        after_ms: u64,
    },
    /// Makes the links between the fabric and the balancers faulty for a time.
    Faults {
        /// The faults.
        faults: LinkFaults,
        /// How long the faults last, in milliseconds.
        for_ms: u64,
    },
    /// Drops all datagrams to and from these balancers for a time.
    Cut {
        /// The IP addresses of the balancers.
        addresses: Vec<Ipv4Addr>,
        /// How long datagrams are dropped, in milliseconds.
        for_ms: u64,
    },
}
