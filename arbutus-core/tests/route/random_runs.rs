use std::net::SocketAddrV4;

use arbutus_core::{
    config::Service,
    route::{self, ForwardingDecision, ServiceRoute},
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

use super::fixture::{address, endpoints, initial, issued, keys, long, record, short, table};

const FLOWS: u64 = 4_000;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn service_of(weights: &[(u16, u32)]) -> ServiceRoute {
    let service = Service::new("lookup", address("lookup"));
    let records: Vec<_> = weights
        .iter()
        .map(|(index, weight)| {
            let mut agent = record("lookup", *index);
            agent.weight_percent = *weight;
            agent
        })
        .collect();
    ServiceRoute::build(&service, &records)
}

fn first(route: &ServiceRoute, number: u64) -> SocketAddrV4 {
    let caller = endpoints("lookup").source;
    let flow = route::flow_hash(caller, &number.to_be_bytes());
    route.candidates(flow).as_slice()[0]
}

/// Weights of some agents, in half of the runs all equal.
fn weights() -> impl Strategy<Value = Vec<u32>> {
    let equal = (3_usize..16).prop_map(|agents| vec![100; agents]);
    prop_oneof![vec(10_u32..400, 3..16), equal]
}

proptest! {
    #![proptest_config(config(40))]

    #[test]
    fn flows_follow_the_weights(weights in weights()) {
        let numbered: Vec<_> = (0..).zip(weights.iter().copied()).collect();
        let route = service_of(&numbered);
        let total = f64::from(weights.iter().sum::<u32>());
        for agent in route.agents() {
            let share = f64::from(agent.weight_percent) / total;
            let taken = (0..FLOWS).filter(|it| first(&route, *it) == agent.tunnel).count();
            let taken = f64::from(u32::try_from(taken).expect("few flows"));
            let flows = f64::from(u32::try_from(FLOWS).expect("few flows"));
            // Five standard deviations of a binomial count.
            let bound = 5.0 * (flows * share * (1.0 - share)).sqrt() + 1.0;
            prop_assert!((taken - flows * share).abs() < bound, "{taken} of {}", flows * share);
        }
    }

    #[test]
    fn a_leaving_agent_moves_only_its_own_flows(
        weights in weights(),
        leaving in any::<prop::sample::Index>(),
    ) {
        let numbered: Vec<_> = (0..).zip(weights.iter().copied()).collect();
        let before = service_of(&numbered);
        let mut fewer = numbered.clone();
        let (gone, _) = fewer.remove(leaving.index(numbered.len()));
        let after = service_of(&fewer);
        for number in 0..300 {
            let caller = endpoints("lookup").source;
            let flow = route::flow_hash(caller, &u64::to_be_bytes(number));
            let old = before.candidates(flow).without(super::fixture::tunnel(gone));
            let new = after.candidates(flow);
            let kept = old.as_slice().len();
            prop_assert_eq!(old.as_slice(), &new.as_slice()[..kept]);
        }
    }

    #[test]
    fn balancers_with_rosters_in_another_order_agree(
        order in Just((0..12_u16).collect::<Vec<_>>()).prop_shuffle(),
        flow in any::<u64>(),
    ) {
        let weight = |index: u16| 50 + u32::from(index % 3) * 50;
        let sorted: Vec<_> = (0..12).map(|index| (index, weight(index))).collect();
        let shuffled: Vec<_> = order.iter().map(|index| (*index, weight(*index))).collect();
        prop_assert_eq!(service_of(&sorted).candidates(flow), service_of(&shuffled).candidates(flow));
    }
}

proptest! {
    #![proptest_config(config(4_000))]

    #[test]
    fn any_bytes_are_decided_on(payload in vec(any::<u8>(), 0..1_500)) {
        let found = route::forward(&table(7), &keys(), endpoints("lookup"), &payload);
        // Random bytes name an owner with a chance of 2^-32 only.
        prop_assert!(!matches!(found, ForwardingDecision::Established(_)));
    }

    #[test]
    fn a_packet_cut_or_changed_anywhere_reaches_no_other_service(
        shape in 0..3,
        at in 0_usize..70,
        bit in 0_u8..8,
        cut in any::<bool>(),
    ) {
        let id = issued("tables", &keys());
        let mut packet = match shape {
            0 => short(&id),
            1 => long(2, [0, 0, 0, 1], &id, 80),
            _ => initial(&id),
        };
        let at = at.min(packet.len() - 1);
        if cut {
            packet.truncate(at);
        } else {
            packet[at] ^= 1 << bit;
        }
        let found = route::forward(&table(7), &keys(), endpoints("lookup"), &packet);
        prop_assert!(!matches!(found, ForwardingDecision::Established(_)), "{:?}", found);
    }
}
