use std::{net::SocketAddrV4, time::Duration};

use super::{FlowId, RelayHeader};

/// What an agent does with a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TrackerAction {
    /// Give it to the backend server.
    ToBackend {
        /// Set where a balancer does not know that the flow is here.
        notify_balancer: Option<SocketAddrV4>,
        /// Whether the flow is new here.
        admitted: bool,
    },
    /// Send it on to the header's present candidate.
    PassOn {
        /// What goes ahead of the packet.
        header: RelayHeader,
        /// Why it does not stay.
        reason: RefusalReason,
    },
    /// Send it to its caller.
    ToCaller {
        /// How long the caller has waited, where this is the first of an answer.
        response_time: Option<Duration>,
        /// Set where a balancer does not know that the flow is here.
        notify_balancer: Option<SocketAddrV4>,
    },
    /// Tell the balancer that asked that the flow is not here.
    NotOwned {
        /// The balancer.
        balancer: SocketAddrV4,
    },
    /// Tell the caller that the flow is gone.
    Reset {
        /// The flow.
        flow: FlowId,
        /// The position up to which the caller has the backend server's stream.
        acknowledged: u32,
        /// What proves that no backend server holds the flow.
        cause: ResetCause,
    },
    /// Nobody gets it.
    Drop(TrackerDropReason),
}

/// What proves that no backend server holds a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResetCause {
    /// The backend server held the flow and turns its packets away.
    BackendForgot,
    /// The backend server has ended.
    BackendEnded,
    /// The agent was known to hold the flow, and its backend server has started anew.
    BackendReplaced,
    /// Every agent that can hold the flow was asked.
    NobodyHolds,
}

impl ResetCause {
    /// The cause as logs name it.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::BackendForgot => "backend-forgot",
            Self::BackendEnded => "backend-ended",
            Self::BackendReplaced => "backend-replaced",
            Self::NobodyHolds => "nobody-holds",
        }
    }
}

/// Why a packet does not stay at an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The flow is not held here.
    NotHeld,
    /// The backend server drains, has ended, or was not heard.
    NotReady,
    /// The backend server does not answer opening segments.
    Unresponsive,
    /// The backend server has as many requests in hand as others should share.
    Busy,
    /// The agent stops.
    Stopping,
    /// The route does not lead to the agent's service.
    OtherService,
    /// The backend server turned the packet away.
    Bounced,
    /// Whether the flow is held is not known; others are asked first.
    Unsure,
    /// The caller confirmed another backend server.
    OtherStream,
}

/// Why an agent drops a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TrackerDropReason {
    /// No candidate is left, for this reason here.
    NobodyLeft(RefusalReason),
    /// The backend server turned away a packet that came from nobody.
    UnknownBounce,
}

impl RefusalReason {
    /// The reason as metrics and logs name it.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotHeld => "not-held",
            Self::NotReady => "not-ready",
            Self::Unresponsive => "unresponsive",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
            Self::OtherService => "other-service",
            Self::Bounced => "bounced",
            Self::Unsure => "unsure",
            Self::OtherStream => "other-stream",
        }
    }
}

impl TrackerDropReason {
    /// The reason as metrics and logs name it.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NobodyLeft(_) => "nobody-left",
            Self::UnknownBounce => "unknown-bounce",
        }
    }
}
