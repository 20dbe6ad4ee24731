//! Time of single decisions on one core: forwarding a packet of an established flow, forwarding a
//! first packet, updating one service of the route table, and admitting a flow.

use std::{hint::black_box, net::SocketAddrV4, sync::Arc};

use arbutus_core::{
    cid::{self, FlowOwner},
    config::{ConfigVersion, Service, Snapshot},
    flow::{Event, FirstPacket, FlowAdmission, FlowKey, FlowLimits, FlowPolicy, LoadReport},
    ident::{Incarnation, ServiceTag},
    keys::{KeyRing, SystemKey},
    roster::{AgentRecord, AgentState},
    route::{self, RouteTable, ServiceRoute},
    time::Timestamp,
    tunnel::{Endpoints, TunnelHeader},
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Number of agents and services in a route table.
#[derive(Debug, Clone, Copy)]
struct Size {
    agents: u32,
    services: u32,
}

const SIZES: [Size; 5] = [
    size(10, 2),
    size(100, 20),
    size(1_000, 175),
    size(33_000, 5_800),
    // A single service with hundreds of agents.
    size(300, 1),
];

const fn size(agents: u32, services: u32) -> Size {
    Size { agents, services }
}

impl std::fmt::Display for Size {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} agents, {} services", self.agents, self.services)
    }
}

fn keys() -> KeyRing {
    KeyRing::single(SystemKey::derive(&[3; SystemKey::SECRET_BYTES]))
}

fn agent_address(number: u32) -> SocketAddrV4 {
    SocketAddrV4::new((0x0a00_0000 + number).into(), 4_000)
}

fn service(number: u32) -> Service {
    let address = SocketAddrV4::new((0xc000_0200 + number).into(), 443);
    Service::new(&format!("service-{number}"), address)
}

fn record(number: u32, tag: ServiceTag) -> AgentRecord {
    AgentRecord {
        tunnel: agent_address(number),
        control: agent_address(number),
        name: Arc::from(format!("agent-{number}")),
        admin_port: 0,
        failure_domain: Arc::from("mvd-a"),
        tag,
        incarnation: Incarnation::new(1),
        version: 1,
        state: AgentState::Ready,
        weight_percent: 100,
    }
}

fn records(size: Size) -> Vec<AgentRecord> {
    let tags: Vec<_> = (0..size.services).map(|it| service(it).tag()).collect();
    let tag = |agent: u32| tags[(agent % size.services) as usize];
    (0..size.agents).map(|it| record(it, tag(it))).collect()
}

fn table(size: Size) -> RouteTable {
    let snapshot = Snapshot::new(ConfigVersion::new(1), (0..size.services).map(service));
    RouteTable::build(&snapshot, &records(size))
}

fn endpoints() -> Endpoints {
    Endpoints {
        source: SocketAddrV4::new([198, 51, 100, 7].into(), 5_000),
        destination: service(0).address,
    }
}

/// Measures forwarding decisions.
fn packets(c: &mut Criterion) {
    let keys = keys();
    let owner = FlowOwner::new(agent_address(1), service(0).tag(), Incarnation::new(1));
    let mut short = vec![0x40];
    short.extend(cid::encode(
        &owner,
        &keys,
        &mut ChaCha8Rng::seed_from_u64(1),
    ));
    short.resize(1_200, 0);
    let mut initial = vec![0xc0, 0, 0, 0, 1, 8];
    initial.resize(1_200, 0);
    for size in SIZES {
        let table = table(size);
        c.bench_with_input(BenchmarkId::new("established", size), &table, |b, table| {
            b.iter(|| route::forward(table, &keys, endpoints(), black_box(&short)));
        });
        let mut number = 0_u64;
        c.bench_with_input(BenchmarkId::new("first", size), &table, |b, table| {
            b.iter(|| {
                number += 1;
                initial[6..14].copy_from_slice(&number.to_be_bytes());
                route::forward(table, &keys, endpoints(), black_box(&initial))
            });
        });
    }
}

/// Measures the update of one service in the route table.
fn tables(c: &mut Criterion) {
    for size in [size(10, 2), size(33_000, 5_800)] {
        let table = table(size);
        let records = records(size);
        let changed = service(0);
        let tag = changed.tag();
        let own: Vec<_> = records.iter().filter(|it| it.tag == tag).collect();
        c.bench_with_input(BenchmarkId::new("one service", size), &table, |b, table| {
            b.iter(|| table.with_routes([ServiceRoute::build(&changed, own.iter().copied())]));
        });
    }
}

/// Returns the flow admission of an agent with `peers` peers, of which up to 48 have sent a load
/// report.
fn admission(peers: u32) -> FlowAdmission {
    let tag = service(0).tag();
    let now = Timestamp::from_millis(10_000);
    let limits = FlowLimits::new().connections(u32::MAX).ramp_ms(0);
    let own = agent_address(0);
    let incarnation = Incarnation::new(1);
    let policy = FlowPolicy::new();
    let mut admission = FlowAdmission::new(own, tag, incarnation, limits, policy, now);
    let listed = (1..=peers).map(|number| record(number, tag)).collect();
    admission.handle(Event::Peers(listed), now);
    for number in 1..=peers.min(48) {
        let report = LoadReport {
            from: agent_address(number),
            tag,
            incarnation,
            sequence: 1,
            requests: 3,
            connections: 100,
            free_slots: 2,
            weight_permille: 1_000,
        };
        admission.handle(Event::Report(report), now);
    }
    admission
}

/// Measures the admission of a flow, followed by one request and the end of the flow.
fn admissions(c: &mut Criterion) {
    for peers in [6, 48, 299] {
        let mut admission = admission(peers);
        let now = Timestamp::from_millis(10_000);
        let header = TunnelHeader::new(endpoints(), service(0).tag());
        let mut number = 0_u64;
        c.bench_function(&format!("admission/{peers} peers"), |b| {
            b.iter(|| {
                number += 1;
                let dcid = number.to_be_bytes();
                let packet = FirstPacket {
                    header,
                    dcid: &dcid,
                    full_size: true,
                };
                let admitted = admission.on_first_packet(black_box(&packet), now);
                let flow = FlowKey::new(endpoints().source, &dcid)
                    .expect("the length of the connection ID is valid");
                admission.handle(Event::Requested(flow), now);
                admission.handle(Event::Closed(flow), now);
                admitted
            });
        });
    }
}

criterion_group!(benches, packets, tables, admissions);
criterion_main!(benches);
