use super::{FlowKey, FlowLimits, FlowPolicy, LoadReport};
use crate::roster::AgentRecord;

/// What flow admission is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An admitted flow has reached the QUIC endpoint, which holds a connection for it.
    Opened(FlowKey),
    /// The first request of a flow has come.
    Requested(FlowKey),
    /// The connection of a flow has ended, or its handshake has failed.
    Closed(FlowKey),
    /// The requests in hand have changed.
    Requests {
        /// Requests at the backend server.
        running: u32,
        /// Requests that wait for a slot.
        queued: u32,
    },
    /// How many more requests peers may pass on to this agent.
    FreeSlots(u32),
    /// The backend server has shed a request. A backend server that sheds looks idle, so the
    /// request counts as one in hand for a while.
    Shed,
    /// A peer has reported its load.
    Report(LoadReport),
    /// The agents of the service are these; the agent's own record may be among them.
    Peers(Vec<AgentRecord>),
    /// The limits have changed.
    Limits(FlowLimits),
    /// The tunables have changed.
    Policy(FlowPolicy),
    /// No new flow may be admitted until [`Event::Resume`].
    Drain,
    /// New flows may be admitted again, unless the agent stops.
    Resume,
    /// The agent stops: no new flow may be admitted any more.
    Stop,
    /// The time that [`FlowAdmission::next_wakeup`](super::FlowAdmission::next_wakeup) named has
    /// come.
    Tick,
}
