use std::net::SocketAddrV4;

use arbutus_core::packet::{FlowId, Segment};

/// A packet as the decisions see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecodedPacket {
    /// What the decisions read.
    pub segment: Segment,
    /// Whether a backend server has turned it away.
    pub bounced: bool,
}

/// Why bytes are not a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PacketError {
    /// They end before the header does.
    Short,
    /// The header's length is not that of the payload.
    Length,
    /// The flags have no meaning.
    Flags,
}

impl PacketError {
    /// The error as metrics name it.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Short => "short-packet",
            Self::Length => "wrong-length",
            Self::Flags => "unknown-flags",
        }
    }
}

impl std::fmt::Display for PacketError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}

impl std::error::Error for PacketError {}

/// What a packet looks like on a platform.
pub trait PacketCodec: Clone + Send + Sync + 'static {
    /// Reads a packet that a caller has sent, or one of those that came back from a backend server.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are no packet.
    fn read_from_caller(&self, bytes: &[u8]) -> Result<DecodedPacket, PacketError>;

    /// Reads a packet that a backend server has sent or turned away.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are no packet.
    fn read_from_backend(&self, bytes: &[u8]) -> Result<DecodedPacket, PacketError>;

    /// Makes a packet that was turned away what it was before.
    fn restore_bounced(&self, bytes: &mut [u8]);

    /// Makes the packet that tells a caller of a reset; `position` is where the caller expects the
    /// backend server's stream to go on.
    fn encode_reset(&self, flow: &FlowId, position: u32) -> Vec<u8>;

    /// Where the packets for a flow's caller go.
    fn caller_address(&self, flow: &FlowId) -> SocketAddrV4;

    /// The request's id, where the packet's payload begins a request that has one.
    fn request_id<'a>(&self, bytes: &'a [u8]) -> Option<&'a str>;
}
