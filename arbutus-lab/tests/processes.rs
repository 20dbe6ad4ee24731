//! Experiments on real processes under load, with signals, faults of the links and a store that is
//! down.
//!
//! The assertions do not depend on the speed of the machine: they check that some requests were
//! answered and that events which must never happen did not happen.

use std::{path::Path, sync::LazyLock, time::Duration};

use arbutus_lab::{
    deployment::Binaries,
    experiment::{self, ExperimentOptions, Outcome},
};
use rstest::rstest;

const DURATION: Duration = Duration::from_secs(5);
const SEED: u64 = 11;

/// Programs of the deployment, built once for all cases.
static BINARIES: LazyLock<Binaries> = LazyLock::new(|| {
    let lab = Path::new(env!("CARGO_BIN_EXE_arbutus-lab"));
    Binaries::find(lab).expect("the programs can be built")
});

/// Runs an experiment under light load with the given events.
async fn experiment(events: &[&str]) -> Outcome {
    let mut options = ExperimentOptions::new("tahsis-canli");
    options.duration = DURATION;
    options.callers = 16;
    options.rate = 80;
    options.deployment.seed = SEED;
    options.events = events
        .iter()
        .map(|event| event.parse().expect("a valid event"))
        .collect();
    let outcome = experiment::run(BINARIES.clone(), &options).await;
    outcome.expect("the experiment runs")
}

struct Case {
    /// Events in the syntax of the command line.
    events: &'static [&'static str],
    /// Whether the events kill or pause the agent of some flows, so that these may break.
    breaks_flows: bool,
}

#[rstest]
#[case::a_killed_balancer_breaks_no_flow(Case {
    events: &["1s kill balancer-1"],
    breaks_flows: false,
})]
#[case::a_stopped_agent_cuts_no_request(Case {
    events: &["1s stop agent-2"],
    breaks_flows: false,
})]
#[case::a_paused_agent_runs_no_request_twice(Case {
    events: &["1s pause agent-3 for 2s"],
    breaks_flows: true,
})]
#[case::a_killed_agent_runs_no_request_twice(Case {
    events: &["1s kill agent-2", "3s start agent-2"],
    breaks_flows: true,
})]
#[case::a_store_that_is_down_breaks_no_flow(Case {
    events: &["1s store down for 3s", "2s start balancer-4", "3s kill balancer-1"],
    breaks_flows: false,
})]
#[case::lossy_links_mix_up_no_answers(Case {
    events: &["1s fabric loss 2% delay 1ms..5ms reorder 5% duplicate 2% for 3s"],
    breaks_flows: false,
})]
#[case::a_backend_server_of_another_service_at_a_reused_address_gets_no_request(Case {
    events: &["1s replace agent-2"],
    breaks_flows: true,
})]
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_on_real_processes(#[case] case: Case) {
    let outcome = experiment(case.events).await;
    let verdict = &outcome.verdict;
    assert!(verdict.answered > 0, "{verdict:?}");
    assert_eq!(verdict.wrong_answers, 0, "{verdict:?}");
    assert_eq!(verdict.double_runs, 0, "{verdict:?}");
    assert_eq!(verdict.not_run_but_ran, 0, "{verdict:?}");
    assert_eq!(verdict.ran_without_run, 0, "{verdict:?}");
    assert_eq!(verdict.cross_service, 0, "{verdict:?}");
    assert_eq!(verdict.cut_by_stop, 0, "{verdict:?}");
    assert_eq!(verdict.broken_flows_planned, 0, "{verdict:?}");
    if !case.breaks_flows {
        assert_eq!(verdict.broken_flows_unplanned, 0, "{verdict:?}");
    }
    assert!(outcome.problems.is_empty(), "{:?}", outcome.problems);
}
