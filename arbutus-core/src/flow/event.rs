use super::{FlowKey, FlowLimits, FlowPolicy, LoadReport};
use crate::roster::AgentRecord;

/// An input of [`FlowAdmission`](super::FlowAdmission).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The QUIC endpoint has opened a connection for an admitted flow.
    Opened(FlowKey),
    /// The first request of a flow has arrived.
    Requested(FlowKey),
    /// The connection of a flow has closed, or its handshake has failed.
    Closed(FlowKey),
    /// The number of in-flight requests has changed.
    Requests {
        /// Requests that run at the backend server.
        running: u32,
        /// Requests that wait for a slot.
        queued: u32,
    },
    /// The number of requests that peers may pass on to this agent.
    FreeSlots(u32),
    /// The backend server has shed a request. Shedding makes a backend server look idle, so the
    /// request counts as in-flight for [`FlowPolicy::shed_ttl_ms`].
    Shed,
    /// A load report from a peer has arrived.
    Report(LoadReport),
    /// The roster's list of agents. Records of other services and the agent's own are ignored.
    Peers(Vec<AgentRecord>),
    /// The limits have changed.
    Limits(FlowLimits),
    /// The tuning parameters have changed.
    Policy(FlowPolicy),
    /// The agent drains: no new flow is admitted until [`Event::Resume`].
    Drain,
    /// The drain has ended: new flows are admitted again, unless the agent stops.
    Resume,
    /// The agent stops: no new flow is admitted from now on.
    Stop,
    /// The time returned by [`FlowAdmission::next_wakeup`](super::FlowAdmission::next_wakeup) has
    /// been reached.
    Tick,
}
