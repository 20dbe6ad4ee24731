use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::atomic::{AtomicU64, Ordering},
};

/// The addresses that fabric datagrams may come from, and the most recent source.
#[derive(Debug)]
pub(super) struct FabricSources {
    allowed: Vec<SocketAddrV4>,
    /// IPv4 address in the upper bits, port in the lower 16; 0 before the first datagram.
    last_source: AtomicU64,
}

impl FabricSources {
    /// Accepts datagrams from the addresses in `allowed` only.
    pub(super) const fn new(allowed: Vec<SocketAddrV4>) -> Self {
        Self {
            allowed,
            last_source: AtomicU64::new(0),
        }
    }

    /// Returns whether a datagram from `from` is accepted, and if so records `from` as the most
    /// recent source.
    pub(super) fn accept(&self, from: SocketAddrV4) -> bool {
        if !self.allowed.contains(&from) {
            return false;
        }
        self.last_source.store(pack(from), Ordering::Relaxed);
        true
    }

    /// Returns the destination of datagrams to callers.
    ///
    /// This is the most recent source, or the first allowed address before any datagram.
    pub(super) fn return_address(&self) -> Option<SocketAddrV4> {
        match self.last_source.load(Ordering::Relaxed) {
            0 => self.allowed.first().copied(),
            packed => Some(unpack(packed)),
        }
    }
}

const PORT_BITS: u32 = 16;

fn pack(address: SocketAddrV4) -> u64 {
    (u64::from(address.ip().to_bits()) << PORT_BITS) | u64::from(address.port())
}

fn unpack(packed: u64) -> SocketAddrV4 {
    let ip = u32::try_from(packed >> PORT_BITS).unwrap_or_default();
    let port = u16::try_from(packed & 0xffff).unwrap_or_default();
    SocketAddrV4::new(Ipv4Addr::from_bits(ip), port)
}
