use std::{collections::VecDeque, net::SocketAddrV4, sync::Arc, time::Duration};

use arbutus_core::{
    flow::{FlowAdmission, FlowLimits, FlowPolicy},
    ident::{Incarnation, ServiceTag},
    roster::{AgentRecord, AgentState},
    time::Timestamp,
};

/// Weight of the newest value in an agent's recent mean of its own work.
const MEAN_GAIN: f64 = 0.02;

/// One request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Request {
    pub(super) flow: usize,
    /// When the caller asked.
    pub(super) requested_at: Timestamp,
    /// How long an equal backend server needs for it.
    pub(super) service_time: Duration,
    /// Whether it runs elsewhere than at the agent of its flow.
    pub(super) passed_on: bool,
}

/// A fake backend server with its agent.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) tunnel: SocketAddrV4,
    pub(super) domain: usize,
    pub(super) admission: FlowAdmission,
    pub(super) running: u32,
    pub(super) queue: VecDeque<Request>,
    pub(super) connections: u32,
    /// Recent mean of the work in hand at the arrival of flows.
    pub(super) mean_in_flight: f64,
    pub(super) is_alive: bool,
    /// Whether the operator wants it to take flows.
    pub(super) is_drained: bool,
    /// What the roster says of it.
    pub(super) listed_state: AgentState,
    pub(super) cold_until: Timestamp,
    /// When it is to be called next.
    pub(super) next_wakeup: Timestamp,
    /// Peers to which one request each may be passed_on.
    pub(super) credits: Vec<usize>,
    /// Whether a peer holds a credit of this one.
    pub(super) has_granted_credit: bool,
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

    pub(super) fn in_flight(&self) -> u32 {
        self.running + self.queued()
    }

    pub(super) fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn update_mean_in_flight(&mut self) {
        self.mean_in_flight += MEAN_GAIN * (f64::from(self.in_flight()) - self.mean_in_flight);
    }

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

/// The tag of the measured service.
pub(super) fn tag() -> ServiceTag {
    ServiceTag::of_name("measured")
}

/// The tunnel address of the agent with an index.
pub(super) fn address_of(index: usize) -> SocketAddrV4 {
    let [.., high, low] = index.to_be_bytes();
    SocketAddrV4::new([10, 0, high, low].into(), 4_000)
}

/// The index of the agent with a tunnel address.
pub(super) fn index_of(tunnel: SocketAddrV4) -> usize {
    let [.., high, low] = tunnel.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}
