/// The class under which the bytes of a message are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MessageClass {
    /// Messages between agents and their home balancers.
    Heartbeat,
    /// Keepalives between balancers.
    Keepalive,
    /// Changed records.
    Push,
    /// Comparison and exchange of records that differ.
    Repair,
    /// Configuration changes.
    Config,
    /// Messages that could not be decoded.
    Malformed,
}

impl MessageClass {
    /// All classes, in the order of their discriminants.
    pub const ALL: [Self; 6] = [
        Self::Heartbeat,
        Self::Keepalive,
        Self::Push,
        Self::Repair,
        Self::Config,
        Self::Malformed,
    ];

    /// Returns the name of the class in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Keepalive => "keepalive",
            Self::Push => "push",
            Self::Repair => "repair",
            Self::Config => "config",
            Self::Malformed => "malformed",
        }
    }
}
