use std::{sync::Arc, time::Duration};

use arbutus_core::packet::{BackendMonitor, BackendState, Heartbeat, HeartbeatOutcome};
use rstest::rstest;

use super::fixture::{HEARTBEAT, OTHER, SERVICE, at, backend, heartbeat};

fn watch() -> BackendMonitor {
    BackendMonitor::new(Arc::from(SERVICE), backend(0), HEARTBEAT)
}

#[derive(Debug)]
struct Second {
    id: &'static str,
    sequence: u64,
    started_at_ms: u64,
    outcome: HeartbeatOutcome,
}

/// The first heartbeat has the id `i-1`, the number 5 and the start 1,000.
#[rstest]
#[case::next(Second { id: "i-1", sequence: 6, started_at_ms: 1_000, outcome: HeartbeatOutcome::Same })]
#[case::again(Second { id: "i-1", sequence: 5, started_at_ms: 1_000, outcome: HeartbeatOutcome::Late })]
#[case::late(Second { id: "i-1", sequence: 4, started_at_ms: 1_000, outcome: HeartbeatOutcome::Late })]
#[case::started_again(
    Second { id: "i-1", sequence: 1, started_at_ms: 2_000, outcome: HeartbeatOutcome::Changed }
)]
#[case::another(
    Second { id: "i-2", sequence: 1, started_at_ms: 2_000, outcome: HeartbeatOutcome::Changed }
)]
#[case::of_an_earlier_start(
    Second { id: "i-0", sequence: 9, started_at_ms: 500, outcome: HeartbeatOutcome::Late }
)]
fn heartbeats_are_ordered_by_start_and_number(#[case] second: Second) {
    let mut watch = watch();
    let first = watch.on_heartbeat(heartbeat(0, 5, 1_000), at(0));
    assert_eq!(first, HeartbeatOutcome::Changed);
    let next = Heartbeat {
        id: Arc::from(second.id),
        ..heartbeat(0, second.sequence, second.started_at_ms)
    };
    assert_eq!(
        watch.on_heartbeat(next, at(10)),
        second.outcome,
        "{second:?}"
    );
}

#[test]
fn a_backend_server_that_started_after_its_clock_was_set_back_is_heard_once_the_other_is_silent() {
    let mut watch = watch();
    watch.on_heartbeat(heartbeat(0, 5, 3_000), at(0));
    let after_step = |sequence| Heartbeat {
        id: Arc::from("i-2"),
        ..heartbeat(0, sequence, 1_000)
    };
    let early = watch.on_heartbeat(after_step(1), at(3_000));
    assert_eq!(early, HeartbeatOutcome::Late);
    let later = watch.on_heartbeat(after_step(2), at(3_001));
    assert_eq!(later, HeartbeatOutcome::Changed);
    assert_eq!(watch.state(at(3_001)), BackendState::Ready);
}

#[test]
fn heartbeats_of_others_change_nothing() {
    let mut watch = watch();
    let other_service = Heartbeat {
        service: Arc::from(OTHER),
        ..heartbeat(0, 1, 1_000)
    };
    assert_eq!(
        watch.on_heartbeat(other_service, at(0)),
        HeartbeatOutcome::NotOurs
    );
    let other_address = heartbeat(1, 1, 1_000);
    assert_eq!(
        watch.on_heartbeat(other_address, at(0)),
        HeartbeatOutcome::NotOurs
    );
    assert_eq!(watch.state(at(0)), BackendState::Unheard);
}

#[test]
fn a_late_heartbeat_does_not_bring_back_a_backend_server_that_has_left() {
    let mut watch = watch();
    watch.on_heartbeat(heartbeat(0, 5, 1_000), at(0));
    assert!(!watch.on_backend_left("i-2"));
    assert!(watch.on_backend_left("i-1"));
    assert_eq!(
        watch.on_heartbeat(heartbeat(0, 6, 1_000), at(10)),
        HeartbeatOutcome::Late
    );
    assert_eq!(watch.state(at(10)), BackendState::Left);
    assert_eq!(
        watch.on_heartbeat(heartbeat(0, 1, 2_000), at(20)),
        HeartbeatOutcome::Changed
    );
    assert_eq!(watch.state(at(20)), BackendState::Ready);
}

#[test]
fn a_draining_backend_server_gets_no_new_flow() {
    let mut watch = watch();
    watch.on_heartbeat(heartbeat(0, 1, 1_000), at(0));
    assert!(watch.accepts_new_flows(at(0)));
    let draining = Heartbeat {
        draining: true,
        ..heartbeat(0, 2, 1_000)
    };
    assert_eq!(
        watch.on_heartbeat(draining, at(10)),
        HeartbeatOutcome::Changed
    );
    assert!(!watch.accepts_new_flows(at(10)));
}

#[test]
fn a_backend_server_that_is_not_heard_gets_no_new_flow() {
    let mut watch = watch();
    watch.on_heartbeat(heartbeat(0, 1, 1_000), at(0));
    assert!(watch.accepts_new_flows(at(3_000)));
    assert!(!watch.accepts_new_flows(at(3_001)));
}

#[test]
fn a_backend_server_that_does_not_respond_is_tried_now_and_then() {
    let mut watch = watch();
    watch.on_heartbeat(heartbeat(0, 1, 1_000), at(0));
    watch.record_opening(at(0));
    assert!(watch.accepts_new_flows(at(119)));
    assert!(!watch.accepts_new_flows(at(120)));
    assert!(watch.accepts_new_flows(at(500)));
    watch.record_response();
    assert!(watch.accepts_new_flows(at(120)));
}

#[test]
fn the_rest_of_a_warm_up_runs_down() {
    let mut watch = watch();
    let warm = Heartbeat {
        warmup_remaining: Duration::from_millis(800),
        ..heartbeat(0, 1, 1_000)
    };
    watch.on_heartbeat(warm, at(0));
    assert_eq!(watch.warmup_remaining(at(300)), Duration::from_millis(500));
    assert_eq!(watch.warmup_remaining(at(900)), Duration::ZERO);
}
