use std::sync::Arc;

use arbutus_core::packet::{PacketRoute, RouteTarget};
use rstest::rstest;

use super::fixture::flow;

#[derive(Debug)]
struct Split {
    weights: &'static [u32],
    /// The share of the first target, in percent.
    first_percent: u32,
}

#[rstest]
#[case(Split { weights: &[1], first_percent: 100 })]
#[case(Split { weights: &[90, 10], first_percent: 90 })]
#[case(Split { weights: &[0, 7], first_percent: 0 })]
#[case(Split { weights: &[1, 1, 2], first_percent: 25 })]
#[case(Split { weights: &[0, 0], first_percent: 100 })]
fn new_flows_are_split_by_weight(#[case] split: Split) {
    const FLOWS: u16 = 20_000;
    const TOLERANCE_PERCENT: u32 = 2;
    let target = |(index, weight): (usize, &u32)| RouteTarget::new(&format!("s{index}"), *weight);
    let route = PacketRoute {
        name: Arc::from("r"),
        targets: split.weights.iter().enumerate().map(target).collect(),
    };
    let to_first = |number: &u16| {
        let target = route.target(flow(*number).hash()).expect("a target");
        *target.name == *"s0"
    };
    let first = (1..=FLOWS).filter(to_first).count();
    let percent = u32::try_from(first * 100 / usize::from(FLOWS)).expect("a small number");
    assert!(
        percent.abs_diff(split.first_percent) <= TOLERANCE_PERCENT,
        "{percent}% for {split:?}"
    );
}

#[test]
fn a_route_without_targets_returns_no_target() {
    let route = PacketRoute {
        name: Arc::from("r"),
        targets: Vec::new(),
    };
    assert_eq!(route.target(7), None);
}
