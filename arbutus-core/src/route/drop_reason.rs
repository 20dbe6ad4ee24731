/// Why a balancer drops a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// No service has the destination address.
    UnknownAddress,
    /// The connection ID belongs to a flow of another service.
    WrongService,
    /// The connection ID was not made by this system, and the packet opens no flow.
    ForeignId,
    /// The connection ID names a key that is not valid here, and the packet opens no flow.
    UnknownKey,
    /// The packet ends before its connection ID does.
    Truncated,
    /// The packet's version is one that no caller sends.
    Version,
    /// The payload is too long for the tunnel.
    Oversized,
    /// No agent of the service takes new flows.
    NoAgent,
}

impl DropReason {
    /// Every reason, in the order of its index.
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

    /// The reason's place in [`DropReason::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }

    /// The reason as metrics and logs name it.
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
