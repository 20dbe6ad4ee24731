//! Looks up the candidate agents for a new flow in a balancer's routing table.

use std::net::SocketAddrV4;

use arbutus_core::{
    config::{ConfigVersion, Service, Snapshot},
    ident::Incarnation,
    keys::{KeyRing, SystemKey},
    roster::{AgentRecord, AgentState},
    route::{self, ForwardingDecision, RouteTable},
    tunnel::Endpoints,
};

const AGENTS: u8 = 5;

fn address(text: &str) -> SocketAddrV4 {
    text.parse().expect("an address")
}

fn main() {
    let service = Service::new("lookup", address("192.0.2.1:443"));
    let records: Vec<AgentRecord> = (1..=AGENTS)
        .map(|host| AgentRecord {
            tunnel: SocketAddrV4::new([10, 0, 0, host].into(), 4_000),
            control: SocketAddrV4::new([10, 0, 0, host].into(), 4_001),
            admin_port: 4_002,
            name: format!("lookup-{host}").into(),
            failure_domain: "mvd-a".into(),
            tag: service.tag(),
            incarnation: Incarnation::new(1),
            version: 1,
            state: AgentState::Ready,
            weight_percent: 100,
        })
        .collect();
    let snapshot = Snapshot::new(ConfigVersion::new(1), [service]);
    let table = RouteTable::build(&snapshot, &records);
    let keys = KeyRing::single(SystemKey::derive(&[7; 32]));

    // The long header of a QUIC version 1 Initial packet, padded to the minimum size.
    let mut initial = vec![0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8];
    initial.resize(1_200, 0);
    let endpoints = Endpoints {
        source: address("198.51.100.4:5000"),
        destination: address("192.0.2.1:443"),
    };
    match route::forward(&table, &keys, endpoints, &initial) {
        ForwardingDecision::Opening(hop) => {
            println!("first {}", hop.to);
            println!("then {:?}", hop.header.candidates.as_slice());
        }
        other => println!("{other:?}"),
    }
}
