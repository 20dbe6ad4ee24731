use std::{hash::Hasher, net::SocketAddrV4, sync::Arc};

use siphasher::sip::SipHasher13;

use super::rendezvous;

/// The key of a record in the roster.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberKey {
    /// The agent with this tunnel address.
    Agent(SocketAddrV4),
    /// The balancer with this control address.
    Balancer(SocketAddrV4),
    /// The failure domain with this name.
    Domain(Arc<str>),
}

impl MemberKey {
    /// Returns a uniformly distributed digest of the key, identical on all nodes.
    #[must_use]
    pub fn digest(&self) -> u64 {
        match self {
            Self::Agent(address) => rendezvous::mix(rendezvous::address_number(*address)),
            Self::Balancer(address) => {
                rendezvous::mix(rendezvous::address_number(*address) | 1 << 62)
            }
            Self::Domain(name) => name_number(name),
        }
    }
}

/// Returns a hash of a name, identical on all nodes.
fn name_number(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}
