use arbutus_core::{
    keys::{KeyRing, SystemKey},
    route::{self, DropCounts, DropReason, ForwardingDecision, RouteTable},
    tunnel::MAX_PAYLOAD_BYTES,
};
use rstest::rstest;

use super::fixture::{
    self, INITIAL_BYTES, endpoints, handshake, initial, issued, keys, long, record, short, tunnel,
};

/// What is to become of a packet.
#[derive(Debug, PartialEq, Eq)]
enum Want {
    Owner,
    Candidates,
    Drop(DropReason),
}

struct Case {
    name: &'static str,
    destination: &'static str,
    packet: Vec<u8>,
    want: Want,
}

fn case(name: &'static str, destination: &'static str, packet: Vec<u8>, want: Want) -> Case {
    Case {
        name,
        destination,
        packet,
        want,
    }
}

/// Packets that go to an agent.
fn forwarded() -> Vec<Case> {
    let keys = keys();
    let own = issued("lookup", &keys);
    let stranger = issued("lookup", &other_system());
    let foreign = [7; 8];
    let grease = [0x1a, 0x2a, 0x3a, 0x4a];
    vec![
        case("short header of ours", "lookup", short(&own), Want::Owner),
        case("handshake of ours", "lookup", handshake(&own), Want::Owner),
        case("second initial", "lookup", initial(&own), Want::Owner),
        case(
            "first initial",
            "lookup",
            initial(&foreign),
            Want::Candidates,
        ),
        case(
            "early data",
            "lookup",
            long(1, [0, 0, 0, 1], &foreign, 300),
            Want::Candidates,
        ),
        case(
            "unknown version",
            "lookup",
            long(0, grease, &foreign, INITIAL_BYTES),
            Want::Candidates,
        ),
        case(
            "initial with a stranger's ID",
            "lookup",
            initial(&stranger),
            Want::Candidates,
        ),
    ]
}

/// Packets that go nowhere.
fn dropped() -> Vec<Case> {
    let keys = keys();
    let own = issued("lookup", &keys);
    let stranger = issued("lookup", &other_system());
    let mut changed = own;
    changed[10] ^= 1;
    let mut unknown_key = own;
    unknown_key[0] |= 0xc0;
    let foreign = [7; 8];
    vec![
        case(
            "flow of another service",
            "tables",
            short(&own),
            Want::Drop(DropReason::WrongService),
        ),
        case(
            "initial in a flow of another service",
            "tables",
            initial(&own),
            Want::Drop(DropReason::WrongService),
        ),
        case(
            "stranger's ID",
            "lookup",
            short(&stranger),
            Want::Drop(DropReason::ForeignId),
        ),
        case(
            "changed ID",
            "lookup",
            short(&changed),
            Want::Drop(DropReason::ForeignId),
        ),
        case(
            "handshake with a foreign ID",
            "lookup",
            handshake(&foreign),
            Want::Drop(DropReason::ForeignId),
        ),
        case(
            "unknown key",
            "lookup",
            short(&unknown_key),
            Want::Drop(DropReason::UnknownKey),
        ),
        case(
            "version negotiation",
            "lookup",
            long(0, [0; 4], &foreign, INITIAL_BYTES),
            Want::Drop(DropReason::Version),
        ),
        case(
            "empty datagram",
            "lookup",
            Vec::new(),
            Want::Drop(DropReason::Truncated),
        ),
        case(
            "ID cut short",
            "lookup",
            short(&own)[..20].to_vec(),
            Want::Drop(DropReason::Truncated),
        ),
        case(
            "oversized",
            "lookup",
            long(0, [0, 0, 0, 1], &foreign, MAX_PAYLOAD_BYTES + 1),
            Want::Drop(DropReason::Oversized),
        ),
        case(
            "no agent",
            "tables",
            initial(&foreign),
            Want::Drop(DropReason::NoAgent),
        ),
    ]
}

fn other_system() -> KeyRing {
    KeyRing::single(SystemKey::derive(&[4; SystemKey::SECRET_BYTES]))
}

#[test]
fn each_packet_goes_where_its_id_says() {
    let table = fixture::table(7);
    for case in forwarded().into_iter().chain(dropped()) {
        let found = route::forward(&table, &keys(), endpoints(case.destination), &case.packet);
        assert_eq!(classify(found), case.want, "{}", case.name);
    }
}

#[test]
fn an_owner_needs_no_roster() {
    let table = RouteTable::build(&fixture::snapshot(), []);
    let packet = short(&issued("lookup", &keys()));
    let found = route::forward(&table, &keys(), endpoints("lookup"), &packet);
    let ForwardingDecision::Established(hop) = found else {
        panic!("the flow is established: {found:?}");
    };
    assert_eq!(hop.to, tunnel(999));
    assert!(hop.header.candidates.as_slice().is_empty());
}

#[test]
fn an_unknown_address_is_dropped() {
    let mut ends = endpoints("lookup");
    ends.destination.set_port(444);
    let packet = short(&issued("lookup", &keys()));
    let found = route::forward(&fixture::table(7), &keys(), ends, &packet);
    assert_eq!(found, ForwardingDecision::Drop(DropReason::UnknownAddress));
}

#[rstest]
#[case::one(1, 0)]
#[case::three(3, 2)]
#[case::many(40, 3)]
fn a_header_names_the_candidates_behind_the_first(#[case] agents: u16, #[case] others: usize) {
    let records: Vec<_> = (0..agents).map(|index| record("lookup", index)).collect();
    let table = RouteTable::build(&fixture::snapshot(), &records);
    let found = route::forward(&table, &keys(), endpoints("lookup"), &initial(&[9; 8]));
    let ForwardingDecision::Opening(hop) = found else {
        panic!("the packet opens a flow: {found:?}");
    };
    let named = hop.header.candidates;
    assert_eq!(named.as_slice().len(), others);
    assert!(!named.as_slice().contains(&hop.to));
}

#[test]
fn drops_are_counted_by_reason() {
    let mut one = DropCounts::new();
    let mut other = DropCounts::new();
    for reason in DropReason::ALL {
        one.record(reason);
        other.record(DropReason::Truncated);
    }
    one.merge(&other);
    assert_eq!(one.get(DropReason::Truncated), 9);
    assert_eq!(one.get(DropReason::NoAgent), 1);
    assert_eq!(one.total(), 16);
}

fn classify(found: ForwardingDecision) -> Want {
    match found {
        ForwardingDecision::Established(hop) => {
            assert_eq!(hop.to, tunnel(999));
            Want::Owner
        }
        ForwardingDecision::Opening(_) => Want::Candidates,
        ForwardingDecision::Drop(reason) => Want::Drop(reason),
    }
}
