//! The version-independent properties of QUIC packets (RFC 8999), and no more.

mod packet_shape;

pub use packet_shape::{PacketShape, ShapeError, inspect};
