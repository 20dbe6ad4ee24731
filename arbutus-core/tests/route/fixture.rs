use std::{net::SocketAddrV4, sync::Arc};

use arbutus_core::{
    cid::{self, CID_BYTES, FlowOwner},
    config::{ConfigVersion, Service, Snapshot},
    ident::{Incarnation, ServiceTag},
    keys::{KeyRing, SystemKey},
    roster::{AgentRecord, AgentState},
    route::RouteTable,
    tunnel::Endpoints,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub const INITIAL_BYTES: usize = 1_200;
const VERSION_1: [u8; 4] = [0, 0, 0, 1];

pub fn keys() -> KeyRing {
    KeyRing::single(SystemKey::derive(&[3; SystemKey::SECRET_BYTES]))
}

pub fn tunnel(index: u16) -> SocketAddrV4 {
    let [high, low] = index.to_be_bytes();
    SocketAddrV4::new([10, 0, high, low].into(), 4_000)
}

pub fn address(service: &str) -> SocketAddrV4 {
    let last = if service == "lookup" { 1 } else { 2 };
    SocketAddrV4::new([192, 0, 2, last].into(), 443)
}

pub fn endpoints(service: &str) -> Endpoints {
    Endpoints {
        source: SocketAddrV4::new([198, 51, 100, 7].into(), 5_000),
        destination: address(service),
    }
}

pub fn snapshot() -> Snapshot {
    let services = ["lookup", "tables"].map(|name| Service::new(name, address(name)));
    Snapshot::new(ConfigVersion::new(1), services)
}

pub fn record(service: &str, index: u16) -> AgentRecord {
    AgentRecord {
        tunnel: tunnel(index),
        control: tunnel(index),
        name: Arc::from(format!("{service}-{index}")),
        admin_port: 0,
        failure_domain: Arc::from("mvd-a"),
        tag: ServiceTag::of_name(service),
        incarnation: Incarnation::new(1),
        version: 1,
        state: AgentState::Ready,
        weight_percent: 100,
    }
}

pub fn table(agents: u16) -> RouteTable {
    let records: Vec<_> = (0..agents).map(|index| record("lookup", index)).collect();
    RouteTable::build(&snapshot(), &records)
}

/// Issues a connection ID of a flow of `service` whose owner is in none of the test rosters.
pub fn issued_id(service: &str, keys: &KeyRing) -> [u8; CID_BYTES] {
    let tag = ServiceTag::of_name(service);
    let owner = FlowOwner::new(tunnel(999), tag, Incarnation::new(1));
    cid::encode(&owner, keys, &mut ChaCha8Rng::seed_from_u64(5))
}

/// Creates a packet with a long header of type `packet_type`, padded to `bytes` bytes.
pub fn long(packet_type: u8, version: [u8; 4], dcid: &[u8], bytes: usize) -> Vec<u8> {
    let mut packet = vec![0xc0 | (packet_type << 4)];
    packet.extend(version);
    packet.push(u8::try_from(dcid.len()).expect("a short ID"));
    packet.extend(dcid);
    packet.resize(bytes.max(packet.len()), 0);
    packet
}

pub fn initial(dcid: &[u8]) -> Vec<u8> {
    long(0, VERSION_1, dcid, INITIAL_BYTES)
}

pub fn handshake(dcid: &[u8]) -> Vec<u8> {
    long(2, VERSION_1, dcid, 100)
}

pub fn short(dcid: &[u8]) -> Vec<u8> {
    let mut packet = vec![0x40];
    packet.extend(dcid);
    packet.resize(60, 0);
    packet
}
