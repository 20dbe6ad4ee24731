//! The packet format of the platform.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 16;
pub const ACK: u8 = 64;
pub const FIN: u8 = 2;
pub const RST: u8 = 8;
pub const BOUNCED: u8 = 4;

const HEAD: usize = 32;

#[derive(Debug, Clone)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
    /// Whether the keyed sum is that of a client or backend server.
    pub genuine: bool,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[8..12].copy_from_slice(&self.to.ip().to_bits().to_le_bytes());
        bytes[12..16].copy_from_slice(&self.from.ip().to_bits().to_le_bytes());
        bytes[16..18].copy_from_slice(&self.from.port().to_le_bytes());
        bytes[18..20].copy_from_slice(&self.to.port().to_le_bytes());
        bytes[20] = self.flags;
        bytes[22..26].copy_from_slice(&self.seq.to_le_bytes());
        bytes[26..30].copy_from_slice(&self.ack.to_le_bytes());
        bytes[30..32].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes.extend_from_slice(&self.data);
        let sum = sum(&bytes);
        bytes[4..8].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD {
            return None;
        }
        let word = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap());
        let half = |at: usize| u16::from_le_bytes(bytes[at..at + 2].try_into().unwrap());
        Some(Self {
            to: SocketAddrV4::new(Ipv4Addr::from_bits(word(8)), half(18)),
            from: SocketAddrV4::new(Ipv4Addr::from_bits(word(12)), half(16)),
            flags: bytes[20],
            seq: word(22),
            ack: word(26),
            data: bytes[HEAD..].to_vec(),
            genuine: word(4) == sum(bytes),
        })
    }

    pub fn has(&self, flags: u8) -> bool {
        self.flags & flags == flags
    }
}

/// A keyed sum over all fields except `echo`, `sum`, `pad` and BOUNCED. It is never 0.
fn sum(bytes: &[u8]) -> u32 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325 ^ 0x5eed_5eed;
    for (at, byte) in bytes.iter().enumerate().skip(8) {
        let byte = match at {
            20 => byte & !BOUNCED,
            21 => 0,
            _ => *byte,
        };
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    ((hash >> 16) as u32) | 1
}
