use std::{collections::VecDeque, net::SocketAddrV4, sync::Arc, time::Duration};

use arbutus_core::{
    flow::{FlowAdmission, FlowLimits, FlowPolicy},
    ident::{Incarnation, ServiceTag},
    roster::{AgentRecord, AgentState},
    time::Timestamp,
};

/// Weight of the newest value in the moving mean of an agent's in-flight requests.
const MEAN_GAIN: f64 = 0.02;

/// A request of a flow.
#[derive(Debug, Clone, Copy)]
pub(super) struct Request {
    /// Index of the flow.
    pub(super) flow: usize,
    /// When the caller sent the request.
    pub(super) requested_at: Timestamp,
    /// Time that a healthy backend server needs for the request.
    pub(super) service_time: Duration,
    /// Whether the request was passed on to another agent than that of its flow.
    pub(super) passed_on: bool,
}

/// A simulated backend server with its agent.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) tunnel: SocketAddrV4,
    pub(super) domain: usize,
    pub(super) admission: FlowAdmission,
    /// Requests that the backend server is processing.
    pub(super) running: u32,
    /// Requests that wait for a free slot.
    pub(super) queue: VecDeque<Request>,
    /// Open flows.
    pub(super) connections: u32,
    /// Moving mean of the in-flight requests, updated at the arrival of flows.
    pub(super) mean_in_flight: f64,
    pub(super) is_alive: bool,
    /// Whether the operator has drained the agent.
    pub(super) is_drained: bool,
    /// State of the agent in the roster.
    pub(super) listed_state: AgentState,
    /// When a cold start ends.
    pub(super) cold_until: Timestamp,
    /// When the next wakeup of the agent is scheduled.
    pub(super) next_wakeup: Timestamp,
    /// Peers to which one request each may be passed on.
    pub(super) credits: Vec<usize>,
    /// Whether a peer holds a credit from this agent.
    pub(super) has_granted_credit: bool,
    /// Bytes of load reports and credits sent so far.
    pub(super) bytes_sent: u64,
}

impl Node {
    pub(super) fn new(
        index: usize,
        domains: usize,
        limits: FlowLimits,
        policy: FlowPolicy,
        now: Timestamp,
    ) -> Self {
        let tunnel = address_of(index);
        let incarnation = Incarnation::new(1);
        Self {
            tunnel,
            domain: index % domains,
            admission: FlowAdmission::new(tunnel, tag(), incarnation, limits, policy, now),
            running: 0,
            queue: VecDeque::new(),
            connections: 0,
            mean_in_flight: 0.0,
            is_alive: true,
            is_drained: false,
            listed_state: AgentState::Ready,
            cold_until: Timestamp::ZERO,
            next_wakeup: Timestamp::MAX,
            credits: Vec::new(),
            has_granted_credit: false,
            bytes_sent: 0,
        }
    }

    /// Returns the number of running and queued requests.
    pub(super) fn in_flight(&self) -> u32 {
        self.running + self.queued()
    }

    /// Returns the number of queued requests.
    pub(super) fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Updates the moving mean with the current number of in-flight requests.
    pub(super) fn update_mean_in_flight(&mut self) {
        self.mean_in_flight += MEAN_GAIN * (f64::from(self.in_flight()) - self.mean_in_flight);
    }

    /// Returns the roster record of the agent.
    pub(super) fn record(&self) -> AgentRecord {
        AgentRecord {
            tunnel: self.tunnel,
            control: self.tunnel,
            admin_port: 0,
            name: Arc::from(self.tunnel.to_string()),
            failure_domain: Arc::from(self.domain.to_string()),
            tag: tag(),
            incarnation: Incarnation::new(1),
            version: 1,
            state: self.listed_state,
            weight_percent: 100,
        }
    }
}

/// Returns the tag of the measured service.
pub(super) fn tag() -> ServiceTag {
    ServiceTag::of_name("measured")
}

/// Returns the tunnel address of the agent with this index.
pub(super) fn address_of(index: usize) -> SocketAddrV4 {
    let [.., high, low] = index.to_be_bytes();
    SocketAddrV4::new([10, 0, high, low].into(), 4_000)
}

/// Returns the index of the agent with this tunnel address.
pub(super) fn index_of(tunnel: SocketAddrV4) -> usize {
    let [.., high, low] = tunnel.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}
