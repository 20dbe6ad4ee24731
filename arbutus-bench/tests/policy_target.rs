//! Bounds on imbalance, hops, drains and shedding in simulated runs with fixed seeds.

use std::time::Duration;

use arbutus_bench::policy::{self, Fault, Scenario, Strategy};
use rstest::rstest;

/// Largest imbalance, as a multiple of that of the oracle in the same run.
const MAX_AGAINST_ORACLE: f64 = 1.5;
/// Largest mean number of hops between agents per new flow.
const MAX_AGENT_HOPS: f64 = 1.1;

fn scenario(load_percent: u32, strategy: Strategy) -> Scenario {
    Scenario::new(7, load_percent, strategy).duration(Duration::from_secs(300))
}

#[rstest]
fn load_reports_keep_imbalance_and_hops_within_bounds(
    #[values(50, 80)] load_percent: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let run = |strategy| policy::run_scenario(&scenario(load_percent, strategy).seed(seed));
    let found = run(Strategy::reports());
    let oracle = run(Strategy::Oracle);
    let ratio = found.imbalance_cv / oracle.imbalance_cv;
    assert!(
        ratio <= MAX_AGAINST_ORACLE,
        "imbalance is {ratio} times that of the oracle"
    );
    assert!(
        found.agent_hops <= MAX_AGENT_HOPS,
        "{} hops between agents",
        found.agent_hops
    );
    assert_eq!(found.invariant_violations, 0);
}

#[test]
fn a_draining_agent_breaks_no_flow_and_admits_none() {
    let draining = scenario(80, Strategy::reports()).fault(Fault::Drain);
    let found = policy::run_scenario(&draining);
    assert_eq!(found.broken_flows, 0);
    assert_eq!(found.admitted_after_drain, 0);
    let hashing = policy::run_scenario(&draining.strategy(Strategy::Hashing));
    assert!(
        hashing.admitted_after_drain > 0,
        "hashing admits no flow after the drain, so the fault has no effect"
    );
}

#[test]
fn load_reports_shed_less_than_hashing_if_one_backend_server_sheds() {
    let shedding = scenario(80, Strategy::reports()).fault(Fault::Shedding);
    let found = policy::run_scenario(&shedding);
    let hashing = policy::run_scenario(&shedding.strategy(Strategy::Hashing));
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
