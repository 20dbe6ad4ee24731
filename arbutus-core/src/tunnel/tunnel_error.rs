/// Reason why a tunnel datagram cannot be encoded or decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TunnelError {
    /// The PROXY protocol header cannot be parsed or built.
    Header,
    /// The header does not describe a proxied IPv4 datagram.
    Family,
    /// A field of the header is missing or has the wrong length.
    Field,
    /// The MAC is missing, refers to an unknown key or does not match.
    Mac,
    /// The payload is longer than [`MAX_PAYLOAD_BYTES`](super::MAX_PAYLOAD_BYTES).
    Oversized,
}
