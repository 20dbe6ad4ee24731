use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use super::LinkFaults;

/// What the fabric can be told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "kebab-case")]
pub enum FabricCommand {
    /// Spray over this balancer too.
    AddBalancer {
        /// Its fabric address.
        address: SocketAddrV4,
    },
    /// Stop spraying over this balancer, but only once the fabric has noticed.
    RemoveBalancer {
        /// Its fabric address.
        address: SocketAddrV4,
        /// Time until the fabric notices, in milliseconds.
        after_ms: u64,
    },
    /// Let the links misbehave for a time.
    Faults {
        /// How.
        faults: LinkFaults,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// Lose all datagrams to and from these balancers for a time.
    Cut {
        /// Their addresses.
        addresses: Vec<Ipv4Addr>,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
}
