/// The reason why the agent answered a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The queue is full or too long for the deadline.
    Overloaded,
    /// The deadline has passed.
    Deadline,
    /// The agent is stopping.
    Stopping,
    /// The agent is draining and accepts no requests from peers.
    Draining,
    /// A non-repeatable request has no idempotency key, an empty one or one that is too long.
    KeyMissing,
    /// A non-repeatable request has no binding.
    BindingMissing,
    /// The token is not a valid binding of this service.
    BindingInvalid,
    /// The binding has expired.
    BindingExpired,
    /// The key is closed for this binding: an earlier attempt was answered `not-run`.
    BindingClosed,
    /// The process that issued the binding no longer exists, or a peer handed over a request that
    /// belongs to a third agent.
    OwnerGone,
    /// The agent that issued the binding could not be reached, or its answer was lost.
    OwnerLost,
    /// The key is in progress or has ended.
    Duplicate,
    /// No more keys can be remembered.
    MemoryFull,
    /// The backend server shed the request.
    Shed,
    /// The backend server, or the peer tried instead, could not be reached or failed.
    UpstreamFailed,
    /// The peer that received the request refused it.
    PeerRefused,
}

impl Refusal {
    /// Returns the stable name for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::Stopping => "stopping",
            Self::Draining => "draining",
            Self::KeyMissing => "key_missing",
            Self::BindingMissing => "binding_missing",
            Self::BindingInvalid => "binding_invalid",
            Self::BindingExpired => "binding_expired",
            Self::BindingClosed => "binding_closed",
            Self::OwnerGone => "owner_gone",
            Self::OwnerLost => "owner_lost",
            Self::Duplicate => "duplicate",
            Self::MemoryFull => "memory_full",
            Self::Shed => "shed",
            Self::UpstreamFailed => "upstream_failed",
            Self::PeerRefused => "peer_refused",
        }
    }
}
