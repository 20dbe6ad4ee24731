//! The delivery decisions of the fabric, without sockets.

use std::net::{Ipv4Addr, SocketAddrV4};

use arbutus_lab::fabric::{FabricCommand, FabricState, LinkFaults};
use rstest::rstest;

fn balancer(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 1, number), 4_433)
}

fn three_balancers() -> [SocketAddrV4; 3] {
    [balancer(1), balancer(2), balancer(3)]
}

struct Case {
    command: FabricCommand,
    /// The time at which datagrams are sent, in microseconds.
    at_us: u64,
    /// The balancers that receive at least one of a thousand datagrams.
    reached: &'static [u8],
    /// The allowed number of deliveries of a thousand datagrams.
    delivered: std::ops::RangeInclusive<usize>,
}

fn faults(faults: LinkFaults) -> FabricCommand {
    FabricCommand::Faults { faults, for_ms: 1 }
}

#[rstest]
#[case::a_removed_balancer_is_used_until_the_removal_takes_effect(Case {
    command: FabricCommand::RemoveBalancer { address: balancer(2), after_ms: 1 },
    at_us: 999,
    reached: &[1, 2, 3],
    delivered: 1_000..=1_000,
})]
#[case::a_removed_balancer_is_not_used_after_the_removal(Case {
    command: FabricCommand::RemoveBalancer { address: balancer(2), after_ms: 1 },
    at_us: 1_000,
    reached: &[1, 3],
    delivered: 1_000..=1_000,
})]
#[case::an_added_balancer_is_used(Case {
    command: FabricCommand::AddBalancer { address: balancer(4) },
    at_us: 0,
    reached: &[1, 2, 3, 4],
    delivered: 1_000..=1_000,
})]
#[case::a_cut_balancer_is_not_reached(Case {
    command: FabricCommand::Cut { addresses: vec![*balancer(1).ip()], for_ms: 1 },
    at_us: 999,
    reached: &[2, 3],
    delivered: 550..=780,
})]
#[case::a_cut_ends(Case {
    command: FabricCommand::Cut { addresses: vec![*balancer(1).ip()], for_ms: 1 },
    at_us: 1_000,
    reached: &[1, 2, 3],
    delivered: 1_000..=1_000,
})]
#[case::links_lose_the_given_share(Case {
    command: faults(LinkFaults::none().loss_percent(20.0)),
    at_us: 0,
    reached: &[1, 2, 3],
    delivered: 700..=900,
})]
#[case::links_duplicate_the_given_share(Case {
    command: faults(LinkFaults::none().duplicate_percent(50.0)),
    at_us: 0,
    reached: &[1, 2, 3],
    delivered: 1_400..=1_600,
})]
#[case::faults_end(Case {
    command: faults(LinkFaults::none().loss_percent(100.0)),
    at_us: 1_000,
    reached: &[1, 2, 3],
    delivered: 1_000..=1_000,
})]
fn commands_change_the_delivery(#[case] case: Case) {
    let mut state = FabricState::new(&three_balancers(), 7);
    state.apply(&case.command, 0);
    let deliveries: Vec<_> = (0..1_000)
        .flat_map(|_| state.copies_to_balancers(case.at_us))
        .collect();
    assert!(
        case.delivered.contains(&deliveries.len()),
        "{} deliveries",
        deliveries.len()
    );
    let mut reached: Vec<_> = deliveries.iter().map(|it| it.balancer).collect();
    reached.sort_unstable();
    reached.dedup();
    let expected: Vec<_> = case
        .reached
        .iter()
        .map(|number| balancer(*number))
        .collect();
    assert_eq!(reached, expected);
}

#[test]
fn delays_stay_within_the_given_range() {
    let mut state = FabricState::new(&three_balancers(), 7);
    state.apply(&faults(LinkFaults::none().delay_us(5_000, 20_000)), 0);
    for delivery in (0..1_000).flat_map(|_| state.copies_to_balancers(0)) {
        assert!((5_000..=20_000).contains(&delivery.delay.as_micros()));
    }
}

#[test]
fn the_same_seed_gives_the_same_deliveries() {
    let deliveries = |seed| {
        let mut state = FabricState::new(&three_balancers(), seed);
        (0..100)
            .map(|_| state.copies_to_balancers(0))
            .collect::<Vec<_>>()
    };
    assert_eq!(deliveries(1), deliveries(1));
    assert_ne!(deliveries(1), deliveries(2));
}

#[test]
fn return_datagrams_of_a_cut_balancer_are_lost() {
    let mut state = FabricState::new(&three_balancers(), 7);
    let addresses = vec![*balancer(1).ip()];
    state.apply(
        &FabricCommand::Cut {
            addresses,
            for_ms: 1,
        },
        0,
    );
    assert!(state.copies_to_caller(balancer(1), 0).is_empty());
    assert_eq!(state.copies_to_caller(balancer(2), 0).len(), 1);
}
