//! Datagrams between balancers and agents: a PROXY protocol v2 header before the caller's packet.

mod candidates;
mod plain_header;
mod tunnel_codec;
mod tunnel_error;
mod tunnel_header;

pub use candidates::Candidates;
pub use tunnel_codec::{decode, decode_fabric, encode, encode_fabric};
pub use tunnel_error::TunnelError;
pub use tunnel_header::{Endpoints, TunnelHeader};

/// Largest payload a tunnel carries, in bytes, so that header and payload fit a path of 1,500.
pub const MAX_PAYLOAD_BYTES: usize = 1_360;
