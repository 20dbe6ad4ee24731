//! The packets of flows, as PROTOCOL.md describes them.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEAD_BYTES: usize = 32;

pub const FIN: u8 = 2;
pub const BOUNCED: u8 = 4;
pub const RST: u8 = 8;
pub const SYN: u8 = 16;
pub const ACK: u8 = 64;

#[derive(Debug, Clone)]
pub struct Packet {
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub flags: u8,
    pub sequence: u32,
    pub acknowledged: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// The sum over all fields but `echo`, `pad` and BOUNCED. It is never 0.
    fn sum(&self) -> u32 {
        let mut sum = 0x811c_9dc5_u32;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                sum = (sum ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
            }
        };
        add(b"the key of the ends");
        add(&self.source.ip().octets());
        add(&self.destination.ip().octets());
        add(&self.source.port().to_le_bytes());
        add(&self.destination.port().to_le_bytes());
        add(&[self.flags & !BOUNCED]);
        add(&self.sequence.to_le_bytes());
        add(&self.acknowledged.to_le_bytes());
        add(&self.data);
        sum.max(1)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD_BYTES];
        bytes[4..8].copy_from_slice(&self.sum().to_le_bytes());
        bytes[8..12].copy_from_slice(&self.destination.ip().to_bits().to_le_bytes());
        bytes[12..16].copy_from_slice(&self.source.ip().to_bits().to_le_bytes());
        bytes[16..18].copy_from_slice(&self.source.port().to_le_bytes());
        bytes[18..20].copy_from_slice(&self.destination.port().to_le_bytes());
        bytes[20] = self.flags;
        bytes[22..26].copy_from_slice(&self.sequence.to_le_bytes());
        bytes[26..30].copy_from_slice(&self.acknowledged.to_le_bytes());
        bytes[30..32].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }

    /// Decodes a packet, and returns it with the state of its sum.
    pub fn decode(bytes: &[u8]) -> Option<(Packet, Sum)> {
        let word = |at: usize| -> Option<u32> {
            Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
        };
        let half = |at: usize| -> Option<u16> {
            Some(u16::from_le_bytes(bytes.get(at..at + 2)?.try_into().ok()?))
        };
        let packet = Packet {
            source: SocketAddrV4::new(Ipv4Addr::from_bits(word(12)?), half(16)?),
            destination: SocketAddrV4::new(Ipv4Addr::from_bits(word(8)?), half(18)?),
            flags: *bytes.get(20)?,
            sequence: word(22)?,
            acknowledged: word(26)?,
            data: bytes.get(HEAD_BYTES..)?.to_vec(),
        };
        if usize::from(half(30)?) != packet.data.len() {
            return None;
        }
        let sum = match word(4)? {
            0 => Sum::Absent,
            sum if sum == packet.sum() => Sum::Valid,
            _ => Sum::Wrong,
        };
        Some((packet, sum))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sum {
    Valid,
    /// The sum is 0, as in a reset of the system's own.
    Absent,
    Wrong,
}
