use std::net::SocketAddrV4;

use arbutus_core::{
    config::Service,
    route::{self, ForwardingDecision, ServiceRoute},
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

use super::fixture::{address, endpoints, initial, issued_id, keys, long, record, short, table};

/// Number of flows for which the shares of the agents are compared with their weights.
const FLOWS: u64 = 4_000;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Creates the route of a service from the indices and weights of its agents.
fn route_of(weights: &[(u16, u32)]) -> ServiceRoute {
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

/// Returns the first candidate for the flow with the given number.
fn first_candidate(route: &ServiceRoute, number: u64) -> SocketAddrV4 {
    let caller = endpoints("lookup").source;
    let flow = route::flow_hash(caller, &number.to_be_bytes());
    route.candidates(flow).as_slice()[0]
}

/// Generates the weights of some agents, all equal in half of the runs.
fn weights() -> impl Strategy<Value = Vec<u32>> {
    let equal = (3_usize..16).prop_map(|agents| vec![100; agents]);
    prop_oneof![vec(10_u32..400, 3..16), equal]
}

proptest! {
    #![proptest_config(config(40))]

    #[test]
    fn flows_are_distributed_by_weight(weights in weights()) {
        let numbered: Vec<_> = (0..).zip(weights.iter().copied()).collect();
        let route = route_of(&numbered);
        let total = f64::from(weights.iter().sum::<u32>());
        for agent in route.agents() {
            let share = f64::from(agent.weight_percent) / total;
            let assigned = (0..FLOWS)
                .filter(|it| first_candidate(&route, *it) == agent.tunnel)
                .count();
            let assigned = f64::from(u32::try_from(assigned).expect("few flows"));
            let flows = f64::from(u32::try_from(FLOWS).expect("few flows"));
            // Five standard deviations of a binomial distribution.
            let bound = 5.0 * (flows * share * (1.0 - share)).sqrt() + 1.0;
            prop_assert!(
                (assigned - flows * share).abs() < bound,
                "{assigned} of {}",
                flows * share
            );
        }
    }

    #[test]
    fn removing_an_agent_moves_only_its_own_flows(
        weights in weights(),
        removed_agent in any::<prop::sample::Index>(),
    ) {
        let numbered: Vec<_> = (0..).zip(weights.iter().copied()).collect();
        let before = route_of(&numbered);
        let mut remaining = numbered.clone();
        let (removed, _) = remaining.remove(removed_agent.index(numbered.len()));
        let after = route_of(&remaining);
        for number in 0..300 {
            let caller = endpoints("lookup").source;
            let flow = route::flow_hash(caller, &u64::to_be_bytes(number));
            let old = before.candidates(flow).without(super::fixture::tunnel(removed));
            let new = after.candidates(flow);
            let count = old.as_slice().len();
            prop_assert_eq!(old.as_slice(), &new.as_slice()[..count]);
        }
    }

    #[test]
    fn candidates_do_not_depend_on_the_roster_order(
        order in Just((0..12_u16).collect::<Vec<_>>()).prop_shuffle(),
        flow in any::<u64>(),
    ) {
        let weight = |index: u16| 50 + u32::from(index % 3) * 50;
        let sorted: Vec<_> = (0..12).map(|index| (index, weight(index))).collect();
        let shuffled: Vec<_> = order.iter().map(|index| (*index, weight(*index))).collect();
        prop_assert_eq!(route_of(&sorted).candidates(flow), route_of(&shuffled).candidates(flow));
    }
}

proptest! {
    #![proptest_config(config(4_000))]

    #[test]
    fn random_bytes_never_belong_to_an_established_flow(payload in vec(any::<u8>(), 0..1_500)) {
        let decision = route::forward(&table(7), &keys(), endpoints("lookup"), &payload);
        // Random bytes decode to an owner with a probability of only 2^-32.
        prop_assert!(!matches!(decision, ForwardingDecision::Established(_)));
    }

    #[test]
    fn truncated_or_corrupted_packets_reach_no_other_service(
        packet_type in 0..3,
        at in 0_usize..70,
        bit in 0_u8..8,
        truncate in any::<bool>(),
    ) {
        let id = issued_id("tables", &keys());
        let mut packet = match packet_type {
            0 => short(&id),
            1 => long(2, [0, 0, 0, 1], &id, 80),
            _ => initial(&id),
        };
        let at = at.min(packet.len() - 1);
        if truncate {
            packet.truncate(at);
        } else {
            packet[at] ^= 1 << bit;
        }
        let decision = route::forward(&table(7), &keys(), endpoints("lookup"), &packet);
        prop_assert!(!matches!(decision, ForwardingDecision::Established(_)), "{:?}", decision);
    }
}
