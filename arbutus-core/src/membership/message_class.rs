/// What the bytes of a message are counted as.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MessageClass {
    /// Between agents and their home balancers.
    Heartbeat,
    /// Between linked balancers, whether or not anything changed.
    Keepalive,
    /// Changes of records.
    Push,
    /// Comparing and exchanging records that differ.
    Repair,
    /// Configuration.
    Config,
    /// What could not be read.
    Malformed,
}

impl MessageClass {
    /// All classes, in the order of their numbers.
    pub const ALL: [Self; 6] = [
        Self::Heartbeat,
        Self::Keepalive,
        Self::Push,
        Self::Repair,
        Self::Config,
        Self::Malformed,
    ];

    /// The class's name in metrics.
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
