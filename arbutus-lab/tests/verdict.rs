//! Journals that break a promise, and the verdict on them.

use std::sync::Arc;

use arbutus_lab::{
    backend::RunRecord,
    caller::{AttemptEnd, AttemptRecord, FlowEnd, FlowRecord, RequestRecord, Told},
    verdict::{BackendJournal, Change, ChangeKind, Evidence, Target, Verdict},
};
use rstest::rstest;

const SECOND: u64 = 1_000_000;

fn attempt(id: &str) -> AttemptRecord {
    AttemptRecord {
        id: Arc::from(id),
        request: Arc::from("r"),
        service: Arc::from("lookup"),
        key: Some(Arc::from("k")),
        flow: Arc::from("f"),
        bound_by: None,
        start_us: 10 * SECOND,
        end_us: 11 * SECOND,
        status: Some(200),
        told: Some(Told::Ran),
        backend: Some(Arc::from("agent-1")),
        end: AttemptEnd::Right,
    }
}

fn cut(id: &str) -> AttemptRecord {
    AttemptRecord {
        status: None,
        told: None,
        end: AttemptEnd::Cut,
        ..attempt(id)
    }
}

fn not_run(id: &str) -> AttemptRecord {
    AttemptRecord {
        status: Some(503),
        told: Some(Told::NotRun),
        end: AttemptEnd::Refused,
        ..attempt(id)
    }
}

fn missed_deadline(id: &str) -> AttemptRecord {
    AttemptRecord {
        status: Some(504),
        told: Some(Told::Unknown),
        end: AttemptEnd::Refused,
        ..attempt(id)
    }
}

/// The attempt as one at `agent-2`.
fn elsewhere(attempt: AttemptRecord) -> AttemptRecord {
    AttemptRecord {
        flow: Arc::from("f2"),
        backend: Some(Arc::from("agent-2")),
        ..attempt
    }
}

fn flow(end: FlowEnd) -> FlowRecord {
    FlowRecord {
        id: Arc::from("f"),
        service: Arc::from("lookup"),
        opened_us: 9 * SECOND,
        closed_us: Some(11 * SECOND),
        backend: Some(Arc::from("agent-1")),
        end,
        reason: String::new(),
    }
}

fn run(id: &str) -> RunRecord {
    RunRecord::new(id, "lookup", 10 * SECOND)
        .key(Some("k"))
        .ran(10 * SECOND, 11 * SECOND)
}

fn journal(name: &str, runs: Vec<RunRecord>) -> BackendJournal {
    BackendJournal {
        name: Arc::from(name),
        service: Arc::from("lookup"),
        runs,
    }
}

fn change(kind: ChangeKind, agent: &str) -> Change {
    Change::new(10 * SECOND, kind, Target::Agent(Arc::from(agent)))
}

/// A run in which one request was answered by `agent-1` on a flow that ended well.
fn sound() -> Evidence {
    let mut evidence = Evidence {
        service: Arc::from("lookup"),
        started_us: 9 * SECOND,
        ended_us: 20 * SECOND,
        backends: vec![
            journal("agent-1", vec![run("a")]),
            journal("agent-2", vec![]),
        ],
        ..Evidence::default()
    };
    evidence.callers.attempts.push(attempt("a"));
    evidence.callers.flows.push(flow(FlowEnd::Graceful));
    evidence.callers.requests.push(RequestRecord {
        id: Arc::from("r"),
        service: Arc::from("lookup"),
        due_us: 10 * SECOND,
        end_us: 11 * SECOND,
        outcome: Told::Ran,
    });
    evidence
}

#[test]
fn sound_journals_break_no_promise() {
    let verdict = Verdict::of(&sound());
    assert_eq!(verdict.violated_guarantees(), Vec::new());
    assert_eq!(verdict.answered, 1);
    assert!((verdict.latency_ms.p50 - 1_000.0).abs() < 1.0);
}

struct Case {
    spoil: fn(&mut Evidence),
    figure: &'static str,
    value: f64,
}

#[rstest]
#[case::a_foreign_answer_is_wrong(Case {
    spoil: |it| it.callers.attempts[0].end = AttemptEnd::Wrong,
    figure: "wrong_answers",
    value: 1.0,
})]
#[case::a_key_that_runs_at_two_backend_servers_runs_twice(Case {
    spoil: |it| it.backends[1].runs.push(run("a2")),
    figure: "double_runs",
    value: 1.0,
})]
#[case::a_key_that_runs_thrice_at_one_backend_server_counts_twice(Case {
    spoil: |it| it.backends[0].runs.extend([run("a2"), run("a3")]),
    figure: "double_runs",
    value: 2.0,
})]
#[case::an_untrue_not_run_shows(Case {
    spoil: |it| it.callers.attempts[0] = not_run("a"),
    figure: "not_run_but_ran",
    value: 1.0,
})]
#[case::a_result_without_a_run_shows(Case {
    spoil: |it| it.backends[0].runs.clear(),
    figure: "ran_without_run",
    value: 1.0,
})]
#[case::a_request_at_another_service_shows(Case {
    spoil: |it| it.backends[0].service = Arc::from("tables"),
    figure: "cross_service",
    value: 1.0,
})]
#[case::a_flow_that_breaks_for_no_reason_counts_as_planned(Case {
    spoil: |it| it.callers.flows[0].end = FlowEnd::Broken,
    figure: "broken_flows_planned",
    value: 1.0,
})]
#[case::a_flow_that_breaks_by_a_stop_counts_as_planned(Case {
    spoil: |it| {
        it.callers.flows[0].end = FlowEnd::Broken;
        it.changes.push(change(ChangeKind::Stop, "agent-1"));
    },
    figure: "broken_flows_planned",
    value: 1.0,
})]
#[case::a_flow_that_breaks_when_another_agent_is_killed_counts_as_planned(Case {
    spoil: |it| {
        it.callers.flows[0].end = FlowEnd::Broken;
        it.changes.push(change(ChangeKind::Kill, "agent-2"));
    },
    figure: "broken_flows_planned",
    value: 1.0,
})]
#[case::a_flow_that_breaks_when_a_balancer_is_killed_counts_as_planned(Case {
    spoil: |it| {
        it.callers.flows[0].end = FlowEnd::Broken;
        let balancer = Target::Balancer(Arc::from("balancer-1"));
        it.changes.push(Change::new(SECOND, ChangeKind::Kill, balancer));
    },
    figure: "broken_flows_planned",
    value: 1.0,
})]
#[case::a_request_cut_by_a_stop_shows(Case {
    spoil: |it| {
        it.callers.attempts[0] = cut("a");
        it.changes.push(change(ChangeKind::Stop, "agent-1"));
    },
    figure: "cut_by_stop",
    value: 1.0,
})]
#[case::an_unknown_outcome_by_a_stop_shows(Case {
    spoil: |it| {
        it.callers.attempts[0].told = Some(Told::Unknown);
        it.callers.attempts[0].end = AttemptEnd::Refused;
        it.changes.push(change(ChangeKind::Drain, "agent-1"));
    },
    figure: "cut_by_stop",
    value: 1.0,
})]
#[case::a_request_cut_for_no_reason_shows(Case {
    spoil: |it| it.callers.attempts[0] = cut("a"),
    figure: "unexplained",
    value: 1.0,
})]
#[case::a_request_without_an_answer_in_time_shows(Case {
    spoil: |it| it.callers.attempts[0].end = AttemptEnd::TimedOut,
    figure: "unexplained",
    value: 1.0,
})]
#[case::a_second_cut_of_a_delayed_request_shows(Case {
    spoil: |it| {
        it.callers.attempts[0] = cut("a");
        it.changes.push(change(ChangeKind::Kill, "agent-1"));
        it.callers.attempts.push(elsewhere(cut("a2")));
    },
    figure: "unexplained",
    value: 1.0,
})]
#[case::a_missed_deadline_of_a_request_that_was_not_delayed_shows(Case {
    spoil: |it| {
        it.changes.push(change(ChangeKind::Kill, "agent-1"));
        it.callers.attempts.push(elsewhere(missed_deadline("a2")));
    },
    figure: "unexplained",
    value: 1.0,
})]
#[case::new_work_long_after_a_drain_shows(Case {
    spoil: |it| {
        let mut drain = change(ChangeKind::Drain, "agent-1");
        drain.at_us = 3 * SECOND;
        it.changes.push(drain);
    },
    figure: "new_work_after_drain_s",
    value: 7.0,
})]
#[case::a_slow_configuration_shows(Case {
    spoil: |it| it.measured.config_in_force_s = 14.0,
    figure: "config_in_force_s",
    value: 14.0,
})]
fn a_broken_promise_shows(#[case] case: Case) {
    let mut evidence = sound();
    (case.spoil)(&mut evidence);
    let broken = Verdict::of(&evidence).violated_guarantees();
    assert_eq!(broken.len(), 1, "{broken:?}");
    assert_eq!(broken[0].figure, case.figure);
    assert!((broken[0].value - case.value).abs() < 1e-9, "{broken:?}");
}

#[rstest]
#[case::a_flow_of_a_killed_agent(|it: &mut Evidence| {
    it.callers.flows[0].end = FlowEnd::Broken;
    it.changes.push(change(ChangeKind::Kill, "agent-1"));
})]
#[case::a_flow_of_a_paused_agent(|it: &mut Evidence| {
    it.callers.flows[0].end = FlowEnd::Broken;
    it.changes.push(change(ChangeKind::Pause, "agent-1").until_us(11 * SECOND));
})]
#[case::a_request_cut_by_a_kill(|it: &mut Evidence| {
    it.callers.attempts[0] = cut("a");
    it.changes.push(change(ChangeKind::Kill, "agent-1"));
})]
#[case::a_request_bound_to_a_killed_agent(|it: &mut Evidence| {
    it.callers.attempts[0] = cut("a");
    it.callers.attempts[0].backend = Some(Arc::from("agent-2"));
    it.callers.attempts[0].flow = Arc::from("f2");
    it.callers.attempts[0].bound_by = Some(Arc::from("f"));
    it.backends[0].runs.clear();
    it.changes.push(change(ChangeKind::Kill, "agent-1"));
})]
#[case::a_request_cut_by_a_misbehaving_backend_server(|it: &mut Evidence| {
    it.callers.attempts[0] = cut("a");
    it.changes.push(change(ChangeKind::Misbehave, "agent-1").until_us(11 * SECOND));
})]
#[case::a_missed_deadline_after_a_kill_used_the_time_up(|it: &mut Evidence| {
    it.callers.attempts[0] = cut("a");
    it.changes.push(change(ChangeKind::Kill, "agent-1"));
    it.callers.attempts.push(elsewhere(missed_deadline("a2")));
})]
#[case::work_sent_before_the_drain(|it: &mut Evidence| {
    it.callers.attempts[0].start_us = 9 * SECOND;
    it.changes.push(change(ChangeKind::Drain, "agent-1"));
})]
#[case::work_after_the_drain_was_taken_back(|it: &mut Evidence| {
    let mut drain = change(ChangeKind::Drain, "agent-1");
    drain.at_us = SECOND;
    let mut undrain = change(ChangeKind::Undrain, "agent-1");
    undrain.at_us = 2 * SECOND;
    it.changes.extend([drain, undrain]);
})]
#[case::a_retry_of_a_key_that_is_told_its_first_result(|it: &mut Evidence| {
    it.callers.attempts.push(attempt("a2"));
})]
#[case::an_honest_not_run(|it: &mut Evidence| {
    it.callers.attempts.push(not_run("a0"));
})]
fn what_the_brief_allows_breaks_no_promise(#[case] spoil: fn(&mut Evidence)) {
    let mut evidence = sound();
    spoil(&mut evidence);
    assert_eq!(Verdict::of(&evidence).violated_guarantees(), Vec::new());
}

#[test]
fn imbalance_is_zero_for_equal_loads_and_one_for_all_on_one_of_two() {
    let busy = || {
        let mut run = run("a");
        run.ended_us = None;
        run
    };
    let mut evidence = sound();
    evidence.backends[0].runs = vec![busy()];
    evidence.backends[1].runs = vec![busy()];
    assert!(Verdict::of(&evidence).imbalance_cv.abs() < 1e-9);
    evidence.backends[1].runs.clear();
    assert!((Verdict::of(&evidence).imbalance_cv - 1.0).abs() < 1e-9);
}
