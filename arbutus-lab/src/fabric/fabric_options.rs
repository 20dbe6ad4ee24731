use std::net::{Ipv4Addr, SocketAddrV4};

/// How to start a fabric.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FabricOptions {
    /// The service addresses that callers use.
    pub services: Vec<SocketAddrV4>,
    /// The balancers known from the start.
    pub balancers: Vec<SocketAddrV4>,
    /// Where datagrams to and from balancers pass.
    pub egress: SocketAddrV4,
    /// The admin port.
    pub admin: SocketAddrV4,
    /// Seed of the random choices.
    pub seed: u64,
}

impl FabricOptions {
    /// A fabric without services on ports that the system chooses.
    #[must_use]
    pub const fn new() -> Self {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        Self {
            services: Vec::new(),
            balancers: Vec::new(),
            egress: any,
            admin: any,
            seed: 0,
        }
    }
}

impl Default for FabricOptions {
    fn default() -> Self {
        Self::new()
    }
}
