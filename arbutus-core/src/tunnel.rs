//! Tunnel datagrams between balancers and agents: a PROXY protocol v2 header followed by the
//! caller's packet.

mod candidates;
mod plain_header;
mod tunnel_codec;
mod tunnel_error;
mod tunnel_header;

pub use candidates::Candidates;
pub use tunnel_codec::{decode, decode_fabric, encode, encode_fabric};
pub use tunnel_error::TunnelError;
pub use tunnel_header::{Endpoints, TunnelHeader};

/// Maximum payload of a tunnel datagram, in bytes, so that header and payload fit into a path MTU
/// of 1,500 bytes.
pub const MAX_PAYLOAD_BYTES: usize = 1_360;
