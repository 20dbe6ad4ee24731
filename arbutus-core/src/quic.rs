//! Parsing of the version-independent properties of QUIC packets (RFC 8999).

mod packet_header;

pub use packet_header::{HeaderError, PacketHeader, parse_header};
