//! The version-independent properties of QUIC packets (RFC 8999), and no more.

mod packet_header;

pub use packet_header::{HeaderError, PacketHeader, parse_header};
