//! The bounds on imbalance and hops, on simulated time with fixed seeds.

use std::time::Duration;

use arbutus_bench::policy::{self, Fault, Scenario, Strategy};
use rstest::rstest;

/// Imbalance against that of the oracle in the same run.
const MAX_AGAINST_ORACLE: f64 = 1.5;
const MAX_AGENT_HOPS: f64 = 1.1;

fn scenario(load_percent: u32, strategy: Strategy) -> Scenario {
    Scenario::new(7, load_percent, strategy).duration(Duration::from_secs(300))
}

#[rstest]
fn flows_are_spread_nearly_as_by_perfect_knowledge(
    #[values(50, 80)] load_percent: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let run = |strategy| policy::run_scenario(&scenario(load_percent, strategy).seed(seed));
    let found = run(Strategy::reports());
    let oracle = run(Strategy::Oracle);
    let ratio = found.imbalance_cv / oracle.imbalance_cv;
    assert!(ratio <= MAX_AGAINST_ORACLE, "{ratio} times the oracle's");
    assert!(
        found.agent_hops <= MAX_AGENT_HOPS,
        "{} hops",
        found.agent_hops
    );
    assert_eq!(found.invariant_violations, 0);
}

#[test]
fn a_drain_breaks_no_flow_and_admits_none() {
    let leaving = scenario(80, Strategy::reports()).fault(Fault::Drain);
    let found = policy::run_scenario(&leaving);
    assert_eq!(found.broken_flows, 0);
    assert_eq!(found.admitted_after_drain, 0);
    let hashing = policy::run_scenario(&leaving.strategy(Strategy::Hashing));
    assert!(hashing.admitted_after_drain > 0, "the fault strikes nobody");
}

#[test]
fn a_backend_server_that_sheds_draws_no_more_than_its_share() {
    let lying = scenario(80, Strategy::reports()).fault(Fault::Shedding);
    let found = policy::run_scenario(&lying);
    let hashing = policy::run_scenario(&lying.strategy(Strategy::Hashing));
    assert!(found.shed_percent < hashing.shed_percent);
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let run = || {
        let outcome = policy::run_scenario(&scenario(95, Strategy::reports()));
        format!("{outcome:?}")
    };
    assert_eq!(run(), run());
}
