//! Round trips of tunnel datagrams.

use std::net::{Ipv4Addr, SocketAddrV4};

use arbutus_core::{
    ident::ServiceTag,
    keys::{KeyRing, SystemKey},
    tunnel::{self, Candidates, Endpoints, TunnelHeader},
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};

const SEED: u64 = 20_261_203;

fn address() -> impl Strategy<Value = SocketAddrV4> {
    (any::<u32>(), any::<u16>())
        .prop_map(|(ip, port)| SocketAddrV4::new(Ipv4Addr::from_bits(ip), port))
}

fn header() -> impl Strategy<Value = TunnelHeader> {
    let candidates = vec(address(), 0..=Candidates::MAX);
    let rest = (candidates, any::<u8>(), proptest::option::of(address()));
    (address(), address(), any::<u32>(), rest).prop_map(|(source, destination, tag, rest)| {
        let endpoints = Endpoints {
            source,
            destination,
        };
        let (candidates, hops, via) = rest;
        let mut header = TunnelHeader::new(endpoints, ServiceTag::new(tag))
            .candidates(candidates.into_iter().collect())
            .hops(hops);
        header.via = via;
        header
    })
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn header_and_payload_round_trip(
        header in header(),
        plain in any::<bool>(),
        number in 0_u8..4,
        payload in vec(any::<u8>(), 0..200),
        before in vec(any::<u8>(), 0..20),
    ) {
        // Half of the headers are those of established flows, which have their own encoder.
        let header = if plain {
            TunnelHeader::new(header.endpoints, header.tag)
        } else {
            header
        };
        let key = SystemKey::derive(&[number; 32]);
        let keys = KeyRing::new([(number, key)], number).expect("one key");
        let mut buf = before.clone();
        prop_assert_eq!(tunnel::encode(&header, &payload, &keys, &mut buf), Ok(()));
        prop_assert_eq!(&buf[..before.len()], &before[..]);
        let decoded = tunnel::decode(&buf[before.len()..], &keys);
        prop_assert_eq!(decoded, Ok((header, payload.as_slice())));
    }
}
