use std::net::SocketAddrV4;

use arbutus_core::packet::{FlowId, Segment};

/// A decoded packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecodedPacket {
    /// The fields that forwarding decisions depend on.
    pub segment: Segment,
    /// Whether a backend server bounced the packet because it does not hold the flow.
    pub bounced: bool,
}

/// The reason why bytes cannot be decoded as a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PacketError {
    /// The bytes end before the header is complete.
    Short,
    /// The length in the header differs from the length of the payload.
    Length,
    /// The header has unknown flags.
    Flags,
}

impl PacketError {
    /// Returns the name of the error in metrics.
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

/// The packet format of a platform.
pub trait PacketCodec: Clone + Send + Sync + 'static {
    /// Decodes a packet that a caller sent, including one that a backend server bounced.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid packet.
    fn read_from_caller(&self, bytes: &[u8]) -> Result<DecodedPacket, PacketError>;

    /// Decodes a packet that a backend server sent or bounced.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid packet.
    fn read_from_backend(&self, bytes: &[u8]) -> Result<DecodedPacket, PacketError>;

    /// Restores a bounced packet to the form in which its caller sent it.
    fn restore_bounced(&self, bytes: &mut [u8]);

    /// Encodes a packet that resets a flow at its caller. `position` is the sequence number that
    /// the caller expects next from the backend server.
    fn encode_reset(&self, flow: &FlowId, position: u32) -> Vec<u8>;

    /// Returns the address to which packets for the flow's caller are sent.
    fn caller_address(&self, flow: &FlowId) -> SocketAddrV4;

    /// Returns the id of the request that starts in the packet's payload, if it has one.
    fn request_id<'a>(&self, bytes: &'a [u8]) -> Option<&'a str>;
}
