//! Tests of the balancer's data path over loopback: forwarding, and dropping with a counted reason.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    sync::Arc,
    time::Duration,
};

use arbutus_core::{
    cid::{self, FlowOwner},
    config::{ConfigVersion, Service, Snapshot},
    ident::{Incarnation, ServiceTag},
    keys::{KeyRing, SystemKey},
    roster::{AgentRecord, AgentState},
    route::RouteTable,
    tunnel::{self, Endpoints, MAX_PAYLOAD_BYTES, TunnelHeader},
};
use arbutus_io::{
    balancer::{self, DataPath},
    metrics::{BalancerMetrics, ReasonLabel},
};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use rstest::rstest;

const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 443);
const OTHER_SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 2), 443);
const UNKNOWN_SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 9), 443);
const CALLER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 51, 100, 1), 40_000);
/// Far longer than a datagram takes on loopback, so that only a lost one times out.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(20);

/// A running balancer, with the sockets of its fabric and of one agent.
struct Harness {
    fabric: UdpSocket,
    agent: UdpSocket,
    balancer: SocketAddrV4,
    tunnel: SocketAddrV4,
    keys: KeyRing,
    metrics: Arc<BalancerMetrics>,
}

impl Harness {
    fn start() -> Self {
        let fabric = socket();
        let agent = socket();
        let keys = KeyRing::single(SystemKey::derive(&[1; 32]));
        let services = [
            Service::new("lookup", SERVICE),
            Service::new("tables", OTHER_SERVICE),
        ];
        let snapshot = Snapshot::new(ConfigVersion::new(1), services);
        let record = AgentRecord {
            tunnel: address(&agent),
            control: address(&agent),
            admin_port: 1,
            name: "lookup-1".into(),
            failure_domain: "mvd-a".into(),
            tag: ServiceTag::of_name("lookup"),
            incarnation: Incarnation::new(1),
            version: 1,
            state: AgentState::Ready,
            weight_percent: 100,
        };
        let metrics = Arc::new(BalancerMetrics::default());
        let path = DataPath::new(keys.clone(), vec![address(&fabric)], metrics.clone());
        path.set_table(RouteTable::build(&snapshot, [&record]));
        let balancer = address(&socket());
        let tunnel = address(&socket());
        balancer::spawn_workers(1, balancer, tunnel, &Arc::new(path)).expect("workers start");
        Self {
            fabric,
            agent,
            balancer,
            tunnel,
            keys,
            metrics,
        }
    }

    fn send_from_fabric(&self, destination: SocketAddrV4, payload: &[u8]) {
        let endpoints = Endpoints {
            source: CALLER,
            destination,
        };
        let mut buf = Vec::new();
        tunnel::encode_fabric(&endpoints, payload, &mut buf).expect("a header");
        self.fabric.send_to(&buf, self.balancer).expect("sent");
    }

    /// Receives and decodes the next datagram at the agent.
    fn receive_at_agent(&self) -> (TunnelHeader, Vec<u8>) {
        let mut buf = [0; 4_096];
        let bytes = self.agent.recv(&mut buf).expect("a datagram arrives");
        let (header, payload) = tunnel::decode(&buf[..bytes], &self.keys).expect("authentic");
        (header, payload.to_vec())
    }

    fn dropped(&self, reason: &'static str) -> u64 {
        let label = ReasonLabel { reason };
        self.metrics.dropped.get_or_create(&label).get()
    }

    /// Builds a short-header packet of a flow that belongs to `owner`.
    fn established(service: &str, owner: SocketAddrV4, keys: &KeyRing) -> Vec<u8> {
        let tag = ServiceTag::of_name(service);
        let owner = FlowOwner::new(owner, tag, Incarnation::new(1));
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut payload = vec![0x40];
        payload.extend_from_slice(&cid::encode(&owner, keys, &mut rng));
        payload.extend_from_slice(&[7; 40]);
        payload
    }

    /// Builds a packet that the balancer must forward to the agent.
    fn valid_datagram(&self) -> Vec<u8> {
        Self::established("lookup", address(&self.agent), &self.keys)
    }
}

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a socket");
    socket
        .set_read_timeout(Some(RECEIVE_TIMEOUT))
        .expect("a timeout");
    socket
}

fn address(socket: &UdpSocket) -> SocketAddrV4 {
    match socket.local_addr().expect("an address") {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(address) => panic!("{address} is not IPv4"),
    }
}

/// Builds a QUIC Initial packet.
fn initial(dcid: &[u8]) -> Vec<u8> {
    let length = u8::try_from(dcid.len()).expect("a short ID");
    let mut payload = vec![0xc0, 0, 0, 0, 1, length];
    payload.extend_from_slice(dcid);
    payload.resize(1_200, 0);
    payload
}

#[test]
fn an_established_flow_goes_to_its_owner_with_an_empty_roster() {
    let harness = Harness::start();
    let owner = socket();
    // The roster contains no agent at this address.
    let payload = Harness::established("lookup", address(&owner), &harness.keys);
    harness.send_from_fabric(SERVICE, &payload);
    let mut buf = [0; 4_096];
    let bytes = owner
        .recv(&mut buf)
        .expect("the owner receives the datagram");
    let (header, got) = tunnel::decode(&buf[..bytes], &harness.keys).expect("authentic");
    assert_eq!(got, payload);
    assert_eq!(header.endpoints.source, CALLER);
    assert_eq!(header.endpoints.destination, SERVICE);
}

#[test]
fn a_first_packet_goes_to_a_candidate() {
    let harness = Harness::start();
    let payload = initial(&[1; 8]);
    harness.send_from_fabric(SERVICE, &payload);
    let (header, got) = harness.receive_at_agent();
    assert_eq!(got, payload);
    assert_eq!(header.tag, ServiceTag::of_name("lookup"));
}

#[test]
fn an_answer_returns_through_the_fabric() {
    let harness = Harness::start();
    let endpoints = Endpoints {
        source: SERVICE,
        destination: CALLER,
    };
    let header = TunnelHeader::new(endpoints, ServiceTag::of_name("lookup"));
    let mut buf = Vec::new();
    tunnel::encode(&header, b"answer", &harness.keys, &mut buf).expect("a datagram");
    harness.agent.send_to(&buf, harness.tunnel).expect("sent");
    let mut got = [0; 4_096];
    let bytes = harness.fabric.recv(&mut got).expect("the answer returns");
    let decoded = tunnel::decode_fabric(&got[..bytes]).expect("a header");
    assert_eq!(decoded, (endpoints, b"answer".as_slice()));
}

/// A datagram that must be dropped, and the reason under which it must be counted.
struct Dropped {
    destination: SocketAddrV4,
    payload: fn(&Harness) -> Vec<u8>,
    reason: &'static str,
}

#[rstest]
#[case::unknown_address(Dropped {
    destination: UNKNOWN_SERVICE,
    payload: Harness::valid_datagram,
    reason: "unknown-address",
})]
#[case::flow_of_another_service(Dropped {
    destination: OTHER_SERVICE,
    payload: Harness::valid_datagram,
    reason: "wrong-service",
})]
#[case::service_without_agents(Dropped {
    destination: OTHER_SERVICE,
    payload: |_| initial(&[1; 8]),
    reason: "no-agent",
})]
#[case::forged_id(Dropped {
    destination: SERVICE,
    payload: |harness| {
        let other_keys = KeyRing::single(SystemKey::derive(&[2; 32]));
        Harness::established("lookup", address(&harness.agent), &other_keys)
    },
    reason: "foreign-id",
})]
#[case::truncated(Dropped {
    destination: SERVICE,
    payload: |_| vec![0x40, 1, 2, 3],
    reason: "truncated",
})]
#[case::oversized(Dropped {
    destination: SERVICE,
    payload: |harness| {
        let mut payload = harness.valid_datagram();
        payload.resize(MAX_PAYLOAD_BYTES + 1, 0);
        payload
    },
    reason: "oversized",
})]
fn an_invalid_datagram_is_dropped_and_counted_by_reason(#[case] case: Dropped) {
    let harness = Harness::start();
    let payload = (case.payload)(&harness);
    harness.send_from_fabric(case.destination, &payload);
    // The worker processes datagrams in order, so the first one is done when the second arrives.
    harness.send_from_fabric(SERVICE, &harness.valid_datagram());
    let (_, got) = harness.receive_at_agent();
    assert_eq!(got, harness.valid_datagram());
    assert_eq!(harness.dropped(case.reason), 1);
}

#[test]
fn a_datagram_from_an_unlisted_source_is_dropped() {
    let harness = Harness::start();
    let unlisted = socket();
    let mut buf = Vec::new();
    let endpoints = Endpoints {
        source: CALLER,
        destination: SERVICE,
    };
    tunnel::encode_fabric(&endpoints, &initial(&[1; 8]), &mut buf).expect("a header");
    unlisted.send_to(&buf, harness.balancer).expect("sent");
    harness.send_from_fabric(SERVICE, &harness.valid_datagram());
    let (_, got) = harness.receive_at_agent();
    assert_eq!(got, harness.valid_datagram());
    assert_eq!(harness.dropped("bad-source"), 1);
}

#[test]
fn an_answer_authenticated_with_another_key_does_not_reach_the_caller() {
    let harness = Harness::start();
    let other_keys = KeyRing::single(SystemKey::derive(&[2; 32]));
    let endpoints = Endpoints {
        source: SERVICE,
        destination: CALLER,
    };
    let header = TunnelHeader::new(endpoints, ServiceTag::of_name("lookup"));
    for (keys, payload) in [(&other_keys, b"forged"), (&harness.keys, b"honest")] {
        let mut buf = Vec::new();
        tunnel::encode(&header, payload, keys, &mut buf).expect("a datagram");
        harness.agent.send_to(&buf, harness.tunnel).expect("sent");
    }
    let mut got = [0; 4_096];
    let bytes = harness
        .fabric
        .recv(&mut got)
        .expect("the authentic datagram returns");
    let (_, payload) = tunnel::decode_fabric(&got[..bytes]).expect("a header");
    assert_eq!(payload, b"honest");
    assert_eq!(harness.dropped("bad-mac"), 1);
}
