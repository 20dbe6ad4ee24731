use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};

use error_stack::Report;
use rand::Rng;

use crate::error::LabError;

/// Host number that no node uses; the process that has bound its claim port owns the network.
const CLAIM_HOST: u8 = 254;
const CLAIM_PORT: u16 = 4_400;
/// Number of random networks that are tried before a claim fails.
const MAX_CLAIM_ATTEMPTS: u32 = 64;

/// Range of 254 loopback addresses that one deployment owns.
///
/// Each node has its own address, and deployments on the same machine do not interfere.
#[derive(Debug)]
pub struct LoopbackNetwork {
    second: u8,
    third: u8,
    /// Socket that marks the network as claimed until it is dropped.
    _claim: UdpSocket,
}

impl LoopbackNetwork {
    /// Claims a network that no other process on this machine has claimed.
    ///
    /// # Errors
    ///
    /// Returns an error if no free network is found.
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
        Err(Report::new(LabError::Socket).attach("no free loopback network found"))
    }

    /// Returns the address of a host.
    #[must_use]
    pub const fn host(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, host)
    }
}
