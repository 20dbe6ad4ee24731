use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use arbutus_core::{
    config::ConfigVersion,
    ident::{Incarnation, ServiceTag},
    packet::{
        AgentListing, AgentReport, AgentStatus, EarlierListing, FlowId, FlowTracker, Heartbeat,
        PacketConfig, PacketRoute, RelayHeader, RouteTarget, Segment, SegmentFlags, Steering,
        SteeringSettings, TrackerSettings,
    },
    time::Timestamp,
};

pub const SERVICE: &str = "lookup";
pub const OTHER_SERVICE: &str = "tables";
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A packet whose content does not matter.
pub const PACKET: &[u8] = b"packet";

/// The start time of every test, in milliseconds.
pub const START_MS: u64 = 10_000;

pub fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(START_MS + ms)
}

pub fn address(text: &str) -> SocketAddrV4 {
    text.parse().expect("an address")
}

pub fn agent(index: usize) -> SocketAddrV4 {
    address(&format!("10.1.0.{}:7720", index + 1))
}

pub fn backend(index: usize) -> SocketAddrV4 {
    address(&format!("10.1.0.{}:8165", index + 1))
}

pub fn balancer(index: usize) -> SocketAddrV4 {
    address(&format!("10.0.0.{}:7720", index + 1))
}

/// Returns one of the two failure domains of the balancers and agents in the random runs.
pub fn failure_domain(index: usize) -> Arc<str> {
    Arc::from(if index.is_multiple_of(2) { "a" } else { "b" })
}

pub fn service_address() -> SocketAddrV4 {
    address("198.18.0.1:443")
}

pub fn flow(number: u16) -> FlowId {
    FlowId {
        caller: address(&format!("100.64.0.7:{number}")),
        service: service_address(),
    }
}

/// Returns an opening segment after `retransmissions` earlier transmissions.
pub fn opening(number: u16, retransmissions: u32) -> Segment {
    let mut segment = Segment::new(flow(number));
    segment = segment.with_flags(SegmentFlags::SYN);
    segment.acknowledged = retransmissions;
    segment
}

/// Returns a request with an acknowledgement up to `acknowledged`.
pub fn request(number: u16, acknowledged: u32) -> Segment {
    let mut segment = Segment::new(flow(number));
    segment = segment.with_flags(SegmentFlags::ACK);
    segment.acknowledged = acknowledged;
    segment.payload_len = 100;
    segment
}

/// Returns the acceptance of a backend server whose stream starts at `sequence`.
pub fn accepting(number: u16, sequence: u32) -> Segment {
    let mut segment = Segment::new(flow(number));
    segment = segment.with_flags(SegmentFlags::SYN);
    segment = segment.with_flags(SegmentFlags::ACK);
    segment.sequence = sequence;
    segment
}

pub fn config(version: u64, services: &[(&str, u32)]) -> PacketConfig {
    let mut config = PacketConfig::new(ConfigVersion::new(version), Duration::from_secs(15));
    let targets = services
        .iter()
        .map(|(name, weight)| RouteTarget::new(name, *weight));
    let route = PacketRoute {
        name: Arc::from("r-1"),
        targets: targets.collect(),
    };
    config.routes.insert(service_address(), Arc::new(route));
    config
}

/// Returns the state of a balancer that is the only seed.
pub fn steering() -> Steering {
    steering_with_seeds(vec![balancer(0)])
}

pub fn steering_with_seeds(seeds: Vec<SocketAddrV4>) -> Steering {
    let settings = SteeringSettings {
        balancer: balancer(0),
        failure_domain: Arc::from("a"),
        cross_domain_cost: 1.0,
        seeds,
    };
    let mut steering = Steering::new(settings, at(0));
    steering.on_config(config(1, &[(SERVICE, 1)]));
    steering
}

pub fn listing(index: usize, service: &str, incarnation: u64) -> AgentListing {
    AgentListing {
        agent: agent(index),
        service: ServiceTag::of_name(service),
        failure_domain: Arc::from("a"),
        incarnation: Incarnation::new(incarnation),
    }
}

pub fn report(index: usize, sequence: u32, status: AgentStatus, flows: u32) -> AgentReport {
    AgentReport {
        agent: agent(index),
        service: ServiceTag::of_name(SERVICE),
        failure_domain: Arc::from("a"),
        incarnation: Incarnation::new(1),
        sequence,
        status,
        slots: 5,
        flows,
        pending_requests: 0,
        warmup_ms: 0,
        config: ConfigVersion::NONE,
        config_source: None,
    }
}

/// Returns the tracker of an agent that started at `now`, at `incarnation` ms on the wall clock, and
/// is the first one at its address that the store knows of.
pub fn tracker(index: usize, incarnation: u64, now: Timestamp) -> FlowTracker {
    let settings = TrackerSettings {
        agent: agent(index),
        service: Arc::from(SERVICE),
        backend: backend(index),
        failure_domain: failure_domain(index),
        incarnation: Incarnation::new(incarnation),
        heartbeat_interval: HEARTBEAT_INTERVAL,
        flow_idle_timeout: Duration::from_secs(60),
    };
    let mut tracker = FlowTracker::new(settings, now);
    tracker.on_earlier_listing(EarlierListing::Absent);
    tracker
}

/// Returns a heartbeat of a backend server that started at `started_at_ms` on the wall clock.
pub fn heartbeat(index: usize, sequence: u64, started_at_ms: u64) -> Heartbeat {
    Heartbeat {
        id: Arc::from("i-1"),
        service: Arc::from(SERVICE),
        address: backend(index),
        slots: 5,
        draining: false,
        warmup_remaining: Duration::ZERO,
        sequence,
        started_at_ms,
    }
}

/// Returns a header of balancer 0 with the agents `candidates`.
pub fn header(candidates: &[usize]) -> RelayHeader {
    RelayHeader::new(balancer(0), candidates.iter().map(|it| agent(*it)))
        .service(ServiceTag::of_name(SERVICE))
}

/// Returns a balancer's state with `agents` ready agents, whose view is complete from 3,500 ms on.
pub fn steering_with_agents(agents: usize) -> Steering {
    let mut steering = steering();
    add_agents(&mut steering, agents);
    steering
}

/// Has the store list `agents` ready agents.
pub fn add_agents(steering: &mut Steering, agents: usize) {
    for index in 0..agents {
        steering.on_listed(&listing(index, SERVICE, 1), at(0));
        steering.on_report(report(index, 1, AgentStatus::Ready, 0), at(0));
    }
    steering.on_store_status(true, at(0));
}

/// Records a report of every agent but `silent` at `ms`.
pub fn report_agents(steering: &mut Steering, agents: usize, silent: Option<usize>, ms: u64) {
    let sequence = u32::try_from(ms).expect("a small number");
    for index in (0..agents).filter(|it| Some(*it) != silent) {
        steering.on_report(report(index, sequence, AgentStatus::Ready, 0), at(ms));
    }
}
