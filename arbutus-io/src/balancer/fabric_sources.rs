use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::atomic::{AtomicU64, Ordering},
};

/// The addresses that fabric datagrams may come from, and the one last heard.
#[derive(Debug)]
pub(super) struct FabricSources {
    allowed: Vec<SocketAddrV4>,
    /// Address in the upper bits, port in the lower 16; 0 before the first datagram.
    last: AtomicU64,
}

impl FabricSources {
    /// Allows `allowed` and nobody else.
    pub(super) const fn new(allowed: Vec<SocketAddrV4>) -> Self {
        Self {
            allowed,
            last: AtomicU64::new(0),
        }
    }

    /// Whether a datagram of `from` is taken; notes it as the last heard.
    pub(super) fn accept(&self, from: SocketAddrV4) -> bool {
        if !self.allowed.contains(&from) {
            return false;
        }
        self.last.store(pack(from), Ordering::Relaxed);
        true
    }

    /// Where datagrams to callers go: the source last heard, or the first allowed one.
    pub(super) fn back(&self) -> Option<SocketAddrV4> {
        match self.last.load(Ordering::Relaxed) {
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
