/// Reason why a balancer drops a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// No service has the destination address.
    UnknownAddress,
    /// The connection ID belongs to a flow of another service.
    WrongService,
    /// The connection ID was not issued by this system, and the packet opens no flow.
    ForeignId,
    /// The connection ID refers to a key that is not in the key ring, and the packet opens no flow.
    UnknownKey,
    /// The packet ends before its connection ID does.
    Truncated,
    /// The packet is a version negotiation packet, which callers never send.
    Version,
    /// The payload exceeds the maximum of the tunnel.
    Oversized,
    /// No agent of the service accepts new flows.
    NoAgent,
}

impl DropReason {
    /// All reasons in order of their indices.
    pub const ALL: [Self; 8] = [
        Self::UnknownAddress,
        Self::WrongService,
        Self::ForeignId,
        Self::UnknownKey,
        Self::Truncated,
        Self::Version,
        Self::Oversized,
        Self::NoAgent,
    ];

    /// Returns the index of the reason in [`DropReason::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the name of the reason in metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::UnknownAddress => "unknown-address",
            Self::WrongService => "wrong-service",
            Self::ForeignId => "foreign-id",
            Self::UnknownKey => "unknown-key",
            Self::Truncated => "truncated",
            Self::Version => "version",
            Self::Oversized => "oversized",
            Self::NoAgent => "no-agent",
        }
    }
}
