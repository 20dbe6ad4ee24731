/// Why a datagram is not one of the tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TunnelError {
    /// The PROXY protocol header cannot be read.
    Header,
    /// The header is not one of a proxied IPv4 datagram.
    Family,
    /// A field of the header is missing or has a wrong length.
    Field,
    /// The code names an unknown key, or does not match.
    Mac,
    /// The payload is longer than [`MAX_PAYLOAD_BYTES`](super::MAX_PAYLOAD_BYTES).
    Oversized,
}
