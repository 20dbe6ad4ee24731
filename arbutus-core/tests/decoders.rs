//! Decoders of network input, run on intact, corrupted, truncated and random bytes.
//!
//! `PROPTEST_CASES` sets the number of runs of each property, `PROPTEST_RNG_SEED` the seed.

use std::net::SocketAddrV4;

use arbutus_core::{
    binding::{self, BindingClaim, BindingError, MAX_TOKEN_CHARS},
    cid::{self, CID_BYTES, FlowOwner},
    ident::{Incarnation, ServiceTag},
    keys::{KeyRing, SystemKey},
    quic::{self, PacketHeader},
    time::Timestamp,
    tunnel::{self, Candidates, Endpoints, MAX_PAYLOAD_BYTES, TunnelHeader},
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SEED: u64 = 20_261_203;

fn config() -> Config {
    let mut cfg = Config {
        failure_persistence: None,
        ..Config::default()
    };
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        cfg.rng_seed = RngSeed::Fixed(SEED);
    }
    cfg
}

fn keys() -> KeyRing {
    KeyRing::new([(2, SystemKey::derive(&[5; 32]))], 2).unwrap()
}

fn other_keys() -> KeyRing {
    KeyRing::new([(2, SystemKey::derive(&[6; 32]))], 2).unwrap()
}

fn address() -> impl Strategy<Value = SocketAddrV4> {
    (any::<[u8; 4]>(), any::<u16>()).prop_map(|(ip, port)| SocketAddrV4::new(ip.into(), port))
}

fn header() -> impl Strategy<Value = TunnelHeader> {
    let candidates = vec(address(), 0..=Candidates::MAX);
    (address(), address(), any::<u32>(), any::<u8>(), candidates).prop_map(
        |(source, destination, tag, hops, candidates)| {
            let endpoints = Endpoints {
                source,
                destination,
            };
            TunnelHeader::new(endpoints, ServiceTag::new(tag))
                .hops(hops)
                .candidates(candidates.into_iter().collect())
        },
    )
}

fn claim() -> impl Strategy<Value = BindingClaim> {
    let numbers = any::<(u64, u64, u64, u64)>();
    (address(), address(), any::<u32>(), numbers).prop_map(|(tunnel, control, tag, numbers)| {
        let (incarnation, instance, serial, expires) = numbers;
        let incarnation = Incarnation::new(incarnation);
        BindingClaim::new(tunnel, control, ServiceTag::new(tag), incarnation)
            .instance(instance)
            .serial(serial)
            .expires(Timestamp::from_micros(expires))
    })
}

/// Returns a copy of `bytes` in which one byte is changed.
fn corrupted(bytes: &[u8], at: prop::sample::Index, by: u8) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    let at = at.index(bytes.len());
    bytes[at] ^= by.max(1);
    bytes
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn tunnel_datagrams_round_trip(
        header in header(),
        payload in vec(any::<u8>(), 0..=MAX_PAYLOAD_BYTES),
    ) {
        let mut datagram = Vec::new();
        tunnel::encode(&header, &payload, &keys(), &mut datagram).unwrap();
        prop_assert_eq!(tunnel::decode(&datagram, &keys()), Ok((header, &payload[..])));
        prop_assert!(tunnel::decode(&datagram, &other_keys()).is_err());
    }

    #[test]
    fn corrupted_or_truncated_tunnel_headers_are_rejected(
        header in header(),
        payload in vec(any::<u8>(), 0..=64),
        at in any::<prop::sample::Index>(),
        by in any::<u8>(),
    ) {
        let mut datagram = Vec::new();
        tunnel::encode(&header, &payload, &keys(), &mut datagram).unwrap();
        let cut = at.index(datagram.len());
        prop_assert!(tunnel::decode(&corrupted(&datagram, at, by), &keys()).is_err());
        prop_assert!(tunnel::decode(&datagram[..cut], &keys()).is_err());
    }

    #[test]
    fn fabric_datagrams_round_trip_and_corrupted_ones_do_not_panic(
        source in address(),
        destination in address(),
        payload in vec(any::<u8>(), 0..200),
        at in any::<prop::sample::Index>(),
        by in any::<u8>(),
    ) {
        let endpoints = Endpoints { source, destination };
        let mut datagram = Vec::new();
        tunnel::encode_fabric(&endpoints, &payload, &mut datagram).unwrap();
        prop_assert_eq!(tunnel::decode_fabric(&datagram), Ok((endpoints, &payload[..])));
        if let Ok((_, rest)) = tunnel::decode_fabric(&corrupted(&datagram, at, by)) {
            prop_assert!(rest.len() <= MAX_PAYLOAD_BYTES);
        }
    }

    #[test]
    fn connection_ids_round_trip_and_corrupted_ones_are_rejected(
        agent in address(),
        tag in any::<u32>(),
        incarnation in any::<u64>(),
        seed in any::<u64>(),
        at in any::<prop::sample::Index>(),
        by in any::<u8>(),
    ) {
        let owner = FlowOwner::new(agent, ServiceTag::new(tag), Incarnation::new(incarnation));
        let id = cid::encode(&owner, &keys(), &mut ChaCha8Rng::seed_from_u64(seed));
        prop_assert_eq!(cid::decode(&id, &keys()), Ok(owner));
        prop_assert!(cid::decode(&corrupted(&id, at, by), &keys()).is_err());
        prop_assert!(cid::decode(&id, &other_keys()).is_err());
        prop_assert!(cid::decode(&id[..at.index(CID_BYTES)], &keys()).is_err());
    }

    #[test]
    fn bindings_round_trip_and_corrupted_or_truncated_ones_are_rejected(
        claim in claim(),
        at in any::<prop::sample::Index>(),
        letter in prop::sample::select(b"ABYZabyz0189-_=+/ \x7f".to_vec()),
    ) {
        let token = binding::encode(&claim, &keys());
        prop_assert!(token.len() <= MAX_TOKEN_CHARS);
        prop_assert_eq!(binding::decode(&token, &keys()), Ok(claim));
        prop_assert_eq!(binding::decode(&token, &other_keys()), Err(BindingError::Mac));
        let cut = at.index(token.len());
        prop_assert!(binding::decode(&token[..cut], &keys()).is_err());
        let mut corrupted = token.clone().into_bytes();
        corrupted[cut] = letter;
        let corrupted = String::from_utf8(corrupted).unwrap();
        prop_assert!(corrupted == token || binding::decode(&corrupted, &keys()).is_err());
    }

    #[test]
    fn random_bytes_are_rejected_without_panic(bytes in vec(any::<u8>(), 0..1_600)) {
        prop_assert!(tunnel::decode(&bytes, &keys()).is_err());
        prop_assert!(cid::decode(&bytes, &keys()).is_err());
        prop_assert!(binding::decode(&String::from_utf8_lossy(&bytes), &keys()).is_err());
        let _ = tunnel::decode_fabric(&bytes);
        if let Ok(header) = quic::parse_header(&bytes) {
            prop_assert!(header.dcid().len() < bytes.len());
        }
    }

    #[test]
    fn proxy_headers_with_random_fields_do_not_panic(fields in vec(any::<u8>(), 0..300)) {
        let mut bytes = b"\r\n\r\n\0\r\nQUIT\n\x21\x12".to_vec();
        bytes.extend_from_slice(&u16::try_from(fields.len()).unwrap().to_be_bytes());
        bytes.extend_from_slice(&fields);
        prop_assert!(tunnel::decode(&bytes, &keys()).is_err());
        let _ = tunnel::decode_fabric(&bytes);
    }
}

#[derive(Debug)]
struct HeaderCase {
    datagram: Vec<u8>,
    expected: Option<PacketHeader<'static>>,
}

#[rstest]
#[case::empty_datagram_is_rejected(HeaderCase { datagram: vec![], expected: None })]
#[case::short_header_with_truncated_id_is_rejected(HeaderCase {
    datagram: vec![0x40; CID_BYTES],
    expected: None,
})]
#[case::short_header(HeaderCase {
    datagram: vec![0x40; CID_BYTES + 1],
    expected: Some(PacketHeader::Short { dcid: &[0x40; CID_BYTES] }),
})]
#[case::initial_opens_a_flow(HeaderCase {
    datagram: vec![0xc0, 0, 0, 0, 1, 2, 7, 8],
    expected: Some(PacketHeader::Opening { dcid: &[7, 8], full_size: false }),
})]
#[case::handshake_packet_opens_no_flow(HeaderCase {
    datagram: vec![0xe0, 0, 0, 0, 1, 2, 7, 8],
    expected: Some(PacketHeader::Long { dcid: &[7, 8] }),
})]
#[case::version_negotiation_opens_no_flow(HeaderCase {
    datagram: vec![0xc0, 0, 0, 0, 0, 2, 7, 8],
    expected: Some(PacketHeader::Long { dcid: &[7, 8] }),
})]
#[case::long_header_with_truncated_id_is_rejected(HeaderCase {
    datagram: vec![0xc0, 0, 0, 0, 1, 3, 7, 8],
    expected: None,
})]
fn packet_headers_are_parsed(#[case] case: HeaderCase) {
    assert_eq!(quic::parse_header(&case.datagram).ok(), case.expected);
}
