use std::{net::SocketAddrV4, time::Duration};

use super::{FlowId, RelayHeader};

/// An agent's action on a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TrackerAction {
    /// Deliver the packet to the backend server.
    ToBackend {
        /// The balancer to notify that this agent owns the flow, if it has no confirmation yet.
        notify_balancer: Option<SocketAddrV4>,
        /// Whether the agent admitted the flow with this packet.
        admitted: bool,
    },
    /// Pass the packet on to the header's current candidate.
    PassOn {
        /// The header to send the packet with.
        header: RelayHeader,
        /// Why this agent refuses the packet.
        reason: RefusalReason,
    },
    /// Send the packet to its caller.
    ToCaller {
        /// The response time, if the packet is the first one of an answer.
        response_time: Option<Duration>,
        /// The balancer to notify that this agent owns the flow, if it has no confirmation yet.
        notify_balancer: Option<SocketAddrV4>,
    },
    /// Report to the balancer that this agent does not own the flow.
    NotOwned {
        /// The balancer.
        balancer: SocketAddrV4,
    },
    /// Send the caller a reset.
    Reset {
        /// The flow.
        flow: FlowId,
        /// The caller's last acknowledgement number.
        acknowledged: u32,
        /// The proof that no backend server holds the flow.
        cause: ResetCause,
    },
    /// Drop the packet.
    Drop(TrackerDropReason),
}

/// Why a flow is reset: the proof that no backend server holds it, or that it never opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResetCause {
    /// The backend server held the flow and now rejects its packets.
    BackendForgot,
    /// The backend server has ended.
    BackendEnded,
    /// The agent owned the flow, and its backend server has been restarted or replaced.
    BackendReplaced,
    /// Every agent that may own the flow has answered that it does not.
    NobodyHolds,
    /// The flow was never opened, because no backend server of the service has room for it.
    NoRoom,
}

impl ResetCause {
    /// Returns the cause's name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::BackendForgot => "backend-forgot",
            Self::BackendEnded => "backend-ended",
            Self::BackendReplaced => "backend-replaced",
            Self::NobodyHolds => "nobody-holds",
            Self::NoRoom => "no-room",
        }
    }
}

/// Why an agent does not accept a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The backend server does not hold the flow.
    NotHeld,
    /// The backend server is draining, has ended, or has sent no recent heartbeat.
    NotReady,
    /// The backend server does not respond to opening segments.
    Unresponsive,
    /// The backend server has so many requests in flight that other candidates should be tried.
    Busy,
    /// The agent is stopping.
    Stopping,
    /// The packet is for another service than the agent's.
    OtherService,
    /// The backend server rejected the packet.
    Bounced,
    /// The agent's flow table is incomplete, and other agents are tried first.
    Unsure,
    /// The caller confirmed another backend server.
    OtherStream,
}

/// Why an agent drops a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TrackerDropReason {
    /// No candidate is left. The last one refused the packet for this reason.
    NobodyLeft(RefusalReason),
    /// The backend server rejected a packet that the agent did not deliver recently.
    UnknownBounce,
}

impl RefusalReason {
    /// Returns the reason's name in metrics and logs.
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
    /// Returns the reason's name in metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NobodyLeft(_) => "nobody-left",
            Self::UnknownBounce => "unknown-bounce",
        }
    }
}
