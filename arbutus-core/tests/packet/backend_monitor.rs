use std::{sync::Arc, time::Duration};

use arbutus_core::packet::{BackendMonitor, BackendState, Heartbeat, HeartbeatOutcome};
use rstest::rstest;

use super::fixture::{HEARTBEAT_INTERVAL, OTHER_SERVICE, SERVICE, at, backend, heartbeat};

fn monitor() -> BackendMonitor {
    BackendMonitor::new(Arc::from(SERVICE), backend(0), HEARTBEAT_INTERVAL)
}

#[derive(Debug)]
struct Second {
    id: &'static str,
    sequence: u64,
    started_at_ms: u64,
    outcome: HeartbeatOutcome,
}

/// The first heartbeat has the identifier `i-1`, sequence number 5 and start time 1,000 ms.
#[rstest]
#[case::next(
    Second { id: "i-1", sequence: 6, started_at_ms: 1_000, outcome: HeartbeatOutcome::Same }
)]
#[case::duplicate(
    Second { id: "i-1", sequence: 5, started_at_ms: 1_000, outcome: HeartbeatOutcome::Late }
)]
#[case::late(
    Second { id: "i-1", sequence: 4, started_at_ms: 1_000, outcome: HeartbeatOutcome::Late }
)]
#[case::restarted(
    Second { id: "i-1", sequence: 1, started_at_ms: 2_000, outcome: HeartbeatOutcome::Changed }
)]
#[case::replaced(
    Second { id: "i-2", sequence: 1, started_at_ms: 2_000, outcome: HeartbeatOutcome::Changed }
)]
#[case::of_an_earlier_process(
    Second { id: "i-0", sequence: 9, started_at_ms: 500, outcome: HeartbeatOutcome::Late }
)]
fn heartbeats_are_ordered_by_start_time_and_sequence_number(#[case] second: Second) {
    let mut monitor = monitor();
    let first = monitor.on_heartbeat(heartbeat(0, 5, 1_000), at(0));
    assert_eq!(first, HeartbeatOutcome::Changed);
    let next = Heartbeat {
        id: Arc::from(second.id),
        ..heartbeat(0, second.sequence, second.started_at_ms)
    };
    assert_eq!(
        monitor.on_heartbeat(next, at(10)),
        second.outcome,
        "{second:?}"
    );
}

#[test]
fn a_process_with_an_earlier_start_time_is_accepted_once_the_last_process_is_silent() {
    let mut monitor = monitor();
    monitor.on_heartbeat(heartbeat(0, 5, 3_000), at(0));
    let after_clock_change = |sequence| Heartbeat {
        id: Arc::from("i-2"),
        ..heartbeat(0, sequence, 1_000)
    };
    let early = monitor.on_heartbeat(after_clock_change(1), at(3_000));
    assert_eq!(early, HeartbeatOutcome::Late);
    let later = monitor.on_heartbeat(after_clock_change(2), at(3_001));
    assert_eq!(later, HeartbeatOutcome::Changed);
    assert_eq!(monitor.state(at(3_001)), BackendState::Ready);
}

#[test]
fn heartbeats_for_another_service_or_address_are_ignored() {
    let mut monitor = monitor();
    let other_service = Heartbeat {
        service: Arc::from(OTHER_SERVICE),
        ..heartbeat(0, 1, 1_000)
    };
    assert_eq!(
        monitor.on_heartbeat(other_service, at(0)),
        HeartbeatOutcome::NotOurs
    );
    let other_address = heartbeat(1, 1, 1_000);
    assert_eq!(
        monitor.on_heartbeat(other_address, at(0)),
        HeartbeatOutcome::NotOurs
    );
    assert_eq!(monitor.state(at(0)), BackendState::Unheard);
}

#[test]
fn a_late_heartbeat_does_not_restore_a_backend_server_that_has_left() {
    let mut monitor = monitor();
    monitor.on_heartbeat(heartbeat(0, 5, 1_000), at(0));
    assert!(!monitor.on_backend_left("i-2", at(5)));
    assert!(monitor.on_backend_left("i-1", at(5)));
    assert_eq!(
        monitor.on_heartbeat(heartbeat(0, 6, 1_000), at(10)),
        HeartbeatOutcome::Late
    );
    assert_eq!(monitor.state(at(10)), BackendState::Left);
    assert_eq!(
        monitor.on_heartbeat(heartbeat(0, 1, 2_000), at(20)),
        HeartbeatOutcome::Changed
    );
    assert_eq!(monitor.state(at(20)), BackendState::Ready);
}

#[test]
fn a_draining_backend_server_gets_no_new_flow() {
    let mut monitor = monitor();
    monitor.on_heartbeat(heartbeat(0, 1, 1_000), at(0));
    assert!(monitor.accepts_new_flows(at(0)));
    let draining = Heartbeat {
        draining: true,
        ..heartbeat(0, 2, 1_000)
    };
    assert_eq!(
        monitor.on_heartbeat(draining, at(10)),
        HeartbeatOutcome::Changed
    );
    assert!(!monitor.accepts_new_flows(at(10)));
}

#[test]
fn a_backend_server_without_recent_heartbeats_gets_no_new_flow() {
    let mut monitor = monitor();
    monitor.on_heartbeat(heartbeat(0, 1, 1_000), at(0));
    assert!(monitor.accepts_new_flows(at(3_000)));
    assert!(!monitor.accepts_new_flows(at(3_001)));
}

#[test]
fn an_unresponsive_backend_server_is_retried_at_an_interval() {
    let mut monitor = monitor();
    monitor.on_heartbeat(heartbeat(0, 1, 1_000), at(0));
    monitor.record_opening(at(0));
    assert!(monitor.accepts_new_flows(at(119)));
    assert!(!monitor.accepts_new_flows(at(120)));
    assert!(monitor.accepts_new_flows(at(500)));
    monitor.record_response();
    assert!(monitor.accepts_new_flows(at(120)));
}

#[test]
fn the_remaining_warm_up_time_decreases() {
    let mut monitor = monitor();
    let warming_up = Heartbeat {
        warmup_remaining: Duration::from_millis(800),
        ..heartbeat(0, 1, 1_000)
    };
    monitor.on_heartbeat(warming_up, at(0));
    assert_eq!(
        monitor.warmup_remaining(at(300)),
        Duration::from_millis(500)
    );
    assert_eq!(monitor.warmup_remaining(at(900)), Duration::ZERO);
}
