use arbutus_core::{
    keys::{KeyRing, SystemKey},
    route::{self, DropCounts, DropReason, ForwardingDecision, RouteTable},
    tunnel::MAX_PAYLOAD_BYTES,
};
use rstest::rstest;

use super::fixture::{
    self, INITIAL_BYTES, endpoints, handshake, initial, issued_id, keys, long, record, short,
    tunnel,
};

/// The expected forwarding decision.
#[derive(Debug, PartialEq, Eq)]
enum Expected {
    Owner,
    Candidates,
    Drop(DropReason),
}

struct Case {
    name: &'static str,
    destination: &'static str,
    packet: Vec<u8>,
    expected: Expected,
}

fn case(
    name: &'static str,
    destination: &'static str,
    packet: Vec<u8>,
    expected: Expected,
) -> Case {
    Case {
        name,
        destination,
        packet,
        expected,
    }
}

/// Returns packets that are forwarded to an agent.
fn forwarded() -> Vec<Case> {
    let keys = keys();
    let own_id = issued_id("lookup", &keys);
    let other_id = issued_id("lookup", &other_system_keys());
    let foreign = [7; 8];
    let grease = [0x1a, 0x2a, 0x3a, 0x4a];
    vec![
        case(
            "short header with own ID",
            "lookup",
            short(&own_id),
            Expected::Owner,
        ),
        case(
            "handshake with own ID",
            "lookup",
            handshake(&own_id),
            Expected::Owner,
        ),
        case(
            "initial with own ID",
            "lookup",
            initial(&own_id),
            Expected::Owner,
        ),
        case(
            "initial with a foreign ID",
            "lookup",
            initial(&foreign),
            Expected::Candidates,
        ),
        case(
            "0-RTT packet",
            "lookup",
            long(1, [0, 0, 0, 1], &foreign, 300),
            Expected::Candidates,
        ),
        case(
            "unknown version",
            "lookup",
            long(0, grease, &foreign, INITIAL_BYTES),
            Expected::Candidates,
        ),
        case(
            "initial with an ID of another system",
            "lookup",
            initial(&other_id),
            Expected::Candidates,
        ),
    ]
}

/// Returns packets that are dropped.
fn dropped() -> Vec<Case> {
    let keys = keys();
    let own_id = issued_id("lookup", &keys);
    let other_id = issued_id("lookup", &other_system_keys());
    let mut corrupted = own_id;
    corrupted[10] ^= 1;
    let mut unknown_key = own_id;
    unknown_key[0] |= 0xc0;
    let foreign = [7; 8];
    vec![
        case(
            "ID of another service",
            "tables",
            short(&own_id),
            Expected::Drop(DropReason::WrongService),
        ),
        case(
            "initial with an ID of another service",
            "tables",
            initial(&own_id),
            Expected::Drop(DropReason::WrongService),
        ),
        case(
            "ID of another system",
            "lookup",
            short(&other_id),
            Expected::Drop(DropReason::ForeignId),
        ),
        case(
            "corrupted ID",
            "lookup",
            short(&corrupted),
            Expected::Drop(DropReason::ForeignId),
        ),
        case(
            "handshake with a foreign ID",
            "lookup",
            handshake(&foreign),
            Expected::Drop(DropReason::ForeignId),
        ),
        case(
            "unknown key",
            "lookup",
            short(&unknown_key),
            Expected::Drop(DropReason::UnknownKey),
        ),
        case(
            "version negotiation",
            "lookup",
            long(0, [0; 4], &foreign, INITIAL_BYTES),
            Expected::Drop(DropReason::Version),
        ),
        case(
            "empty datagram",
            "lookup",
            Vec::new(),
            Expected::Drop(DropReason::Truncated),
        ),
        case(
            "truncated ID",
            "lookup",
            short(&own_id)[..20].to_vec(),
            Expected::Drop(DropReason::Truncated),
        ),
        case(
            "oversized payload",
            "lookup",
            long(0, [0, 0, 0, 1], &foreign, MAX_PAYLOAD_BYTES + 1),
            Expected::Drop(DropReason::Oversized),
        ),
        case(
            "service without agents",
            "tables",
            initial(&foreign),
            Expected::Drop(DropReason::NoAgent),
        ),
    ]
}

fn other_system_keys() -> KeyRing {
    KeyRing::single(SystemKey::derive(&[4; SystemKey::SECRET_BYTES]))
}

#[test]
fn packets_are_forwarded_by_connection_id() {
    let table = fixture::table(7);
    for case in forwarded().into_iter().chain(dropped()) {
        let decision = route::forward(&table, &keys(), endpoints(case.destination), &case.packet);
        assert_eq!(classify(decision), case.expected, "{}", case.name);
    }
}

#[test]
fn established_flows_are_forwarded_with_an_empty_roster() {
    let table = RouteTable::build(&fixture::snapshot(), []);
    let packet = short(&issued_id("lookup", &keys()));
    let decision = route::forward(&table, &keys(), endpoints("lookup"), &packet);
    let ForwardingDecision::Established(hop) = decision else {
        panic!("the flow is established: {decision:?}");
    };
    assert_eq!(hop.to, tunnel(999));
    assert!(hop.header.candidates.as_slice().is_empty());
}

#[test]
fn packets_to_an_unknown_address_are_dropped() {
    let mut endpoints = endpoints("lookup");
    endpoints.destination.set_port(444);
    let packet = short(&issued_id("lookup", &keys()));
    let decision = route::forward(&fixture::table(7), &keys(), endpoints, &packet);
    assert_eq!(
        decision,
        ForwardingDecision::Drop(DropReason::UnknownAddress)
    );
}

#[rstest]
#[case::one(1, 0)]
#[case::three(3, 2)]
#[case::many(40, 3)]
fn the_header_lists_the_remaining_candidates(#[case] agents: u16, #[case] others: usize) {
    let records: Vec<_> = (0..agents).map(|index| record("lookup", index)).collect();
    let table = RouteTable::build(&fixture::snapshot(), &records);
    let decision = route::forward(&table, &keys(), endpoints("lookup"), &initial(&[9; 8]));
    let ForwardingDecision::Opening(hop) = decision else {
        panic!("the packet opens a flow: {decision:?}");
    };
    let listed = hop.header.candidates;
    assert_eq!(listed.as_slice().len(), others);
    assert!(!listed.as_slice().contains(&hop.to));
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

fn classify(decision: ForwardingDecision) -> Expected {
    match decision {
        ForwardingDecision::Established(hop) => {
            assert_eq!(hop.to, tunnel(999));
            Expected::Owner
        }
        ForwardingDecision::Opening(_) => Expected::Candidates,
        ForwardingDecision::Drop(reason) => Expected::Drop(reason),
    }
}
