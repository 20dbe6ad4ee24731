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
pub(super) struct Work {
    pub(super) flow: usize,
    /// When the caller asked.
    pub(super) asked: Timestamp,
    /// How long an equal backend server needs for it.
    pub(super) demand: Duration,
    /// Whether it runs elsewhere than at the agent of its flow.
    pub(super) handed: bool,
}

/// A fake backend server with its agent.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) tunnel: SocketAddrV4,
    pub(super) domain: usize,
    pub(super) admission: FlowAdmission,
    pub(super) running: u32,
    pub(super) waiting: VecDeque<Work>,
    pub(super) connections: u32,
    /// Recent mean of the work in hand at the arrival of flows.
    pub(super) mean_work: f64,
    pub(super) alive: bool,
    /// Whether the operator wants it to take flows.
    pub(super) drained: bool,
    /// What the roster says of it.
    pub(super) listed: AgentState,
    pub(super) cold_until: Timestamp,
    /// When it is to be called next.
    pub(super) wake: Timestamp,
    /// Peers to which one request each may be handed.
    pub(super) credits: Vec<usize>,
    /// Whether a peer holds a credit of this one.
    pub(super) granted: bool,
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
            waiting: VecDeque::new(),
            connections: 0,
            mean_work: 0.0,
            alive: true,
            drained: false,
            listed: AgentState::Ready,
            cold_until: Timestamp::ZERO,
            wake: Timestamp::MAX,
            credits: Vec::new(),
            granted: false,
            bytes_sent: 0,
        }
    }

    pub(super) fn work(&self) -> u32 {
        self.running + self.queued()
    }

    pub(super) fn queued(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn note_mean(&mut self) {
        self.mean_work += MEAN_GAIN * (f64::from(self.work()) - self.mean_work);
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
            state: self.listed,
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
