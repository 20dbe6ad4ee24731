use std::net::{Ipv4Addr, SocketAddrV4};

/// Start options of a fabric.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FabricOptions {
    /// The service addresses to which callers send.
    pub services: Vec<SocketAddrV4>,
    /// The balancers over which datagrams are spread from the start.
    pub balancers: Vec<SocketAddrV4>,
    /// The address from which datagrams are exchanged with the balancers.
    pub egress: SocketAddrV4,
    /// The address of the admin port.
    pub admin: SocketAddrV4,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl FabricOptions {
    /// Creates options for a fabric without services or balancers, on ports that the system
    /// chooses.
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
