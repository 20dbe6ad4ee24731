//! What only real processes show: signals, and a store that is down, under load.
//!
//! No verdict here depends on the speed of the machine: only counts of what may never happen are
//! judged, and that load was served at all.

use std::{path::Path, sync::LazyLock, time::Duration};

use arbutus_lab::{
    deployment::Binaries,
    experiment::{self, ExperimentOptions, Outcome},
};
use rstest::rstest;

const DURATION: Duration = Duration::from_secs(5);
const SEED: u64 = 11;

/// Built once for all cases.
static BINARIES: LazyLock<Binaries> = LazyLock::new(|| {
    let lab = Path::new(env!("CARGO_BIN_EXE_arbutus-lab"));
    Binaries::find(lab).expect("the daemons")
});

async fn experiment(events: &[&str]) -> Outcome {
    let mut options = ExperimentOptions::new("tahsis-canli");
    options.duration = DURATION;
    options.callers = 16;
    options.rate = 80;
    options.deployment.seed = SEED;
    options.events = events
        .iter()
        .map(|event| event.parse().expect("an event"))
        .collect();
    let outcome = experiment::run(BINARIES.clone(), &options).await;
    outcome.expect("a run")
}

struct Case {
    events: &'static [&'static str],
    /// Whether some flows have lost their agent or its host without warning.
    breaks_flows: bool,
}

#[rstest]
#[case::a_killed_balancer_breaks_nothing(Case {
    events: &["1s kill balancer-1"],
    breaks_flows: false,
})]
#[case::a_stopped_agent_cuts_nothing(Case {
    events: &["1s stop agent-2"],
    breaks_flows: false,
})]
#[case::a_paused_agent_runs_nothing_twice(Case {
    events: &["1s pause agent-3 for 2s"],
    breaks_flows: true,
})]
#[case::a_killed_agent_runs_nothing_twice(Case {
    events: &["1s kill agent-2", "3s start agent-2"],
    breaks_flows: true,
})]
#[case::a_store_that_is_down_stops_nothing(Case {
    events: &["1s store down for 3s", "2s start balancer-4", "3s kill balancer-1"],
    breaks_flows: false,
})]
#[case::lossy_links_cross_nothing(Case {
    events: &["1s fabric loss 2% delay 1ms..5ms reorder 5% duplicate 2% for 3s"],
    breaks_flows: false,
})]
#[case::another_service_at_an_old_address_gets_nothing(Case {
    events: &["1s replace agent-2"],
    breaks_flows: true,
})]
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_on_real_processes(#[case] case: Case) {
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
