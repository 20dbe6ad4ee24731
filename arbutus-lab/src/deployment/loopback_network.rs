use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};

use error_stack::Report;
use rand::Rng;

use crate::error::LabError;

/// A host number that no node uses; who holds its port holds the network.
const CLAIM_HOST: u8 = 254;
const CLAIM_PORT: u16 = 4_400;
const MAX_CLAIM_ATTEMPTS: u32 = 64;

/// 254 loopback addresses that belong to one deployment, so that each node has an address of its
/// own and deployments on one machine never meet.
#[derive(Debug)]
pub struct LoopbackNetwork {
    second: u8,
    third: u8,
    /// Held for as long as the network is.
    _claim: UdpSocket,
}

impl LoopbackNetwork {
    /// Claims a network that nobody on this machine holds.
    ///
    /// # Errors
    ///
    /// Fails where none is found.
    pub fn claim() -> Result<Self, Report<LabError>> {
        let mut rng = rand::rng();
        for _ in 0..MAX_CLAIM_ATTEMPTS {
            let (second, third) = (rng.random_range(64..=127), rng.random());
            let host = Ipv4Addr::new(127, second, third, CLAIM_HOST);
            if let Ok(claim) = UdpSocket::bind(SocketAddrV4::new(host, CLAIM_PORT)) {
                return Ok(Self {
                    second,
                    third,
                    _claim: claim,
                });
            }
        }
        Err(Report::new(LabError::Socket).attach("no loopback network is free"))
    }

    /// The address of a host.
    #[must_use]
    pub const fn host(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, host)
    }
}
