use arbutus_core::packet::{
    AgentStatus, FlowTracker, HeartbeatOutcome, LookupAnswer, Question, RefusalReason, ResetCause,
    TrackerAction, TrackerDropReason,
};
use arbutus_core::time::Timestamp;
use rstest::rstest;

use super::fixture::{
    accepting, agent, at, balancer, flow, header, heartbeat, holder, opening, request,
};

/// An agent that started before its backend server, which is ready.
fn ready() -> FlowTracker {
    let mut holder = holder(0, 1_000, at(0));
    holder.on_heartbeat(heartbeat(0, 1, 1_001), at(0));
    holder
}

/// An agent that started after its backend server.
fn restarted() -> FlowTracker {
    let mut holder = holder(0, 9_000, at(0));
    holder.on_heartbeat(heartbeat(0, 9, 1_001), at(0));
    holder
}

/// Opens flow `number`; the backend server's stream starts at 500.
fn open(holder: &mut FlowTracker, number: u16) {
    let taken = holder.on_relayed(header(&[0]), &opening(number, 0), at(0));
    assert!(matches!(
        taken,
        TrackerAction::ToBackend { admitted: true, .. }
    ));
    holder.on_backend_packet(&accepting(number, 500), at(1));
    let first = holder.on_relayed(header(&[0]), &request(number, 501), at(7));
    assert!(matches!(
        first,
        TrackerAction::ToBackend {
            admitted: false,
            ..
        }
    ));
}

/// What the agent says of flow `number`, whose caller has acknowledged up to `acknowledged`.
fn ask(holder: &mut FlowTracker, number: u16, acknowledged: u32, now: Timestamp) -> LookupAnswer {
    let question = Question {
        flow: flow(number),
        acknowledged,
    };
    let answers = holder.on_query(balancer(0), &[question], now);
    assert_eq!(answers.len(), 1);
    answers[0]
}

fn passed_on(action: &TrackerAction) -> Option<RefusalReason> {
    match action {
        TrackerAction::PassOn { header, reason } => {
            assert_eq!(header.target(), Some(agent(1)));
            Some(*reason)
        }
        _ => None,
    }
}

#[test]
fn a_new_flow_goes_to_the_backend_server_and_the_balancer_is_told() {
    let mut holder = ready();
    let action = holder.on_relayed(header(&[0, 1]), &opening(1, 0), at(0));
    let expected = TrackerAction::ToBackend {
        notify_balancer: Some(balancer(0)),
        admitted: true,
    };
    assert_eq!(action, expected);
}

#[test]
fn a_new_flow_passes_by_an_agent_that_has_not_heard_its_backend_server() {
    let mut holder = holder(0, 1_000, at(0));
    let action = holder.on_relayed(header(&[0, 1]), &opening(1, 0), at(0));
    assert_eq!(passed_on(&action), Some(RefusalReason::NotReady));
}

#[test]
fn a_new_flow_passes_by_an_agent_that_stops() {
    let mut holder = ready();
    holder.stop(at(0));
    assert_eq!(holder.status(at(0)), AgentStatus::Draining);
    let action = holder.on_relayed(header(&[0, 1]), &opening(1, 0), at(0));
    assert_eq!(passed_on(&action), Some(RefusalReason::Stopping));
}

#[test]
fn a_new_flow_of_another_service_is_not_taken() {
    let mut holder = ready();
    let header = header(&[0, 1]).service(arbutus_core::ident::ServiceTag::of_name("tables"));
    let action = holder.on_relayed(header, &opening(1, 0), at(0));
    assert_eq!(passed_on(&action), Some(RefusalReason::OtherService));
}

#[test]
fn a_new_flow_that_the_backend_server_turns_away_goes_on() {
    let mut holder = ready();
    holder.on_relayed(header(&[0, 1]), &opening(1, 0), at(0));
    let action = holder.on_bounced(&opening(1, 0), at(1));
    assert_eq!(passed_on(&action), Some(RefusalReason::Bounced));
    assert_eq!(holder.flow_count(), 0);
}

#[test]
fn the_last_candidate_that_refuses_a_new_flow_drops_it_silently() {
    let mut holder = holder(0, 1_000, at(0));
    let action = holder.on_relayed(header(&[0]), &opening(1, 0), at(0));
    let expected = TrackerAction::Drop(TrackerDropReason::NobodyLeft(RefusalReason::NotReady));
    assert_eq!(action, expected);
}

#[test]
fn a_busy_agent_takes_the_copy_of_an_opening_segment_that_it_passed_on() {
    let mut holder = ready();
    // Five slots, so that ten requests in hand are twice as many.
    for number in 1..=10 {
        open(&mut holder, number);
    }
    let first = holder.on_relayed(header(&[0, 1]), &opening(11, 0), at(8));
    assert_eq!(passed_on(&first), Some(RefusalReason::Busy));
    let copy = holder.on_relayed(header(&[0, 1]), &opening(11, 1), at(208));
    assert!(matches!(
        copy,
        TrackerAction::ToBackend { admitted: true, .. }
    ));
}

#[test]
fn an_open_flow_stays_when_its_route_goes_to_another_service() {
    let mut holder = ready();
    open(&mut holder, 1);
    let header = header(&[0, 1]).service(arbutus_core::ident::ServiceTag::of_name("tables"));
    let action = holder.on_relayed(header, &request(1, 900), at(10));
    assert!(matches!(action, TrackerAction::ToBackend { .. }));
}

#[test]
fn an_open_flow_goes_on_while_the_backend_server_drains_and_the_agent_stops() {
    let mut holder = ready();
    open(&mut holder, 1);
    let mut draining = heartbeat(0, 2, 1_001);
    draining.draining = true;
    holder.on_heartbeat(draining, at(8));
    holder.stop(at(9));
    let action = holder.on_relayed(header(&[0, 1]), &request(1, 900), at(10));
    assert!(matches!(action, TrackerAction::ToBackend { .. }));
}

#[test]
fn a_half_open_flow_that_the_caller_confirmed_elsewhere_goes_on() {
    let mut holder = ready();
    holder.on_relayed(header(&[0, 1]), &opening(1, 0), at(0));
    holder.on_backend_packet(&accepting(1, 500), at(1));
    let action = holder.on_relayed(header(&[0, 1]), &request(1, 77_001), at(7));
    assert_eq!(passed_on(&action), Some(RefusalReason::OtherStream));
    let answer = ask(&mut holder, 1, 77_001, at(8));
    assert_eq!(answer, LookupAnswer::NotOwned);
    let answer = ask(&mut holder, 1, 501, at(8));
    assert_eq!(answer, LookupAnswer::Owned);
}

#[derive(Debug)]
struct Unknown {
    restarted: bool,
    answer: LookupAnswer,
}

#[rstest]
#[case(Unknown { restarted: false, answer: LookupAnswer::NotOwned })]
#[case(Unknown { restarted: true, answer: LookupAnswer::Unknown })]
fn an_agent_denies_a_flow_only_if_it_knows_all_flows(#[case] case: Unknown) {
    let mut holder = if case.restarted { restarted() } else { ready() };
    let answer = ask(&mut holder, 1, 900, at(5));
    assert_eq!(answer, case.answer, "{case:?}");
}

#[derive(Debug)]
struct Start {
    started_at_ms: u64,
    number: u64,
    answer: LookupAnswer,
}

/// Agents started at the wall clock's millisecond 9,000.
#[rstest]
#[case(Start { started_at_ms: 8_750, number: 3, answer: LookupAnswer::NotOwned })]
#[case(Start { started_at_ms: 8_749, number: 3, answer: LookupAnswer::Unknown })]
#[case(Start { started_at_ms: 8_750, number: 4, answer: LookupAnswer::Unknown })]
fn an_agent_that_started_together_with_its_backend_server_knows_all_flows(#[case] start: Start) {
    let mut holder = holder(0, 9_000, at(0));
    holder.on_heartbeat(heartbeat(0, start.number, start.started_at_ms), at(100));
    let answer = ask(&mut holder, 1, 900, at(101));
    assert_eq!(answer, start.answer, "{start:?}");
}

#[test]
fn a_wall_clock_that_was_set_back_does_not_make_an_agent_sure() {
    // The clock says that the agent started first, and the number says that it did not.
    let mut holder = holder(0, 1_000, at(0));
    holder.on_heartbeat(heartbeat(0, 40, 1_001), at(500));
    let answer = ask(&mut holder, 1, 900, at(501));
    assert_eq!(answer, LookupAnswer::Unknown);
}

#[test]
fn a_restarted_agent_lets_its_backend_server_decide_and_remembers_what_it_denied() {
    let mut holder = restarted();
    let tried = header(&[0]).last_resort();
    let action = holder.on_relayed(tried.clone(), &request(1, 900), at(0));
    assert!(matches!(action, TrackerAction::ToBackend { .. }));
    let balancer = balancer(0);
    assert_eq!(
        holder.on_bounced(&request(1, 900), at(1)),
        TrackerAction::NotOwned { balancer }
    );
    assert_eq!(ask(&mut holder, 1, 900, at(2)), LookupAnswer::NotOwned);

    holder.on_relayed(tried, &request(2, 900), at(3));
    let answered = holder.on_backend_packet(&request(2, 300), at(4));
    assert!(matches!(
        answered,
        TrackerAction::ToCaller {
            notify_balancer: Some(_),
            ..
        }
    ));
    assert_eq!(ask(&mut holder, 2, 900, at(5)), LookupAnswer::Owned);
}

#[test]
fn a_restarted_agent_learns_flows_from_what_its_backend_server_sends() {
    let mut holder = restarted();
    holder.on_backend_packet(&request(1, 300), at(0));
    let action = holder.on_relayed(header(&[0, 1]), &request(1, 900), at(1));
    assert!(matches!(action, TrackerAction::ToBackend { .. }));
}

#[test]
fn a_backend_server_that_has_lost_an_open_flow_has_its_caller_told() {
    let mut holder = ready();
    open(&mut holder, 1);
    holder.on_relayed(header(&[0]), &request(1, 900), at(10));
    let action = holder.on_bounced(&request(1, 900), at(11));
    let expected = TrackerAction::Reset {
        flow: flow(1),
        acknowledged: 900,
        cause: ResetCause::BackendForgot,
    };
    assert_eq!(action, expected);
}

#[test]
fn a_flow_that_only_this_agent_can_hold_is_reset_when_it_does_not() {
    let mut holder = ready();
    let action = holder.on_relayed(header(&[0]).owner_confirmed(true), &request(1, 900), at(0));
    let expected = TrackerAction::Reset {
        flow: flow(1),
        acknowledged: 900,
        cause: ResetCause::BackendReplaced,
    };
    assert_eq!(action, expected);
    let unknown = holder.on_relayed(header(&[0]), &request(2, 900), at(0));
    assert_eq!(
        unknown,
        TrackerAction::Drop(TrackerDropReason::NobodyLeft(RefusalReason::NotHeld))
    );
}

#[test]
fn callers_of_a_backend_server_that_has_ended_are_told() {
    let mut holder = ready();
    open(&mut holder, 1);
    holder.on_relayed(header(&[0]), &opening(2, 0), at(8));
    assert!(holder.on_backend_left("i-1", at(10)));
    assert_eq!(holder.status(at(10)), AgentStatus::Ended);
    let expected = TrackerAction::Reset {
        flow: flow(1),
        acknowledged: 501,
        cause: ResetCause::BackendEnded,
    };
    assert_eq!(holder.reset_all_flows(), [expected]);
}

#[test]
fn callers_of_a_backend_server_that_started_anew_are_told_before_they_send() {
    let mut holder = ready();
    open(&mut holder, 1);
    holder.on_heartbeat(heartbeat(0, 2, 1_001), at(1_200));
    // Whether the old backend server or its successor took this one is not known.
    holder.on_relayed(header(&[0]), &opening(2, 0), at(1_300));
    holder.on_backend_packet(&accepting(2, 700), at(1_301));
    holder.on_relayed(header(&[0]), &request(2, 701), at(1_307));
    assert_eq!(holder.reset_predecessor_flows(), []);
    let outcome = holder.on_heartbeat(heartbeat(0, 1, 2_500), at(1_700));
    assert_eq!(outcome, HeartbeatOutcome::Changed);
    let expected = TrackerAction::Reset {
        flow: flow(1),
        acknowledged: 501,
        cause: ResetCause::BackendReplaced,
    };
    assert_eq!(holder.reset_predecessor_flows(), [expected]);
    assert_eq!(holder.reset_predecessor_flows(), []);
    assert_eq!(ask(&mut holder, 2, 900, at(1_701)), LookupAnswer::Owned);
}

#[test]
fn a_bounced_packet_that_nobody_sent_is_dropped() {
    let mut holder = ready();
    let action = holder.on_bounced(&request(1, 900), at(0));
    assert_eq!(
        action,
        TrackerAction::Drop(TrackerDropReason::UnknownBounce)
    );
}

#[test]
fn balancers_with_packets_get_one_report_each() {
    let mut holder = ready();
    assert!(!holder.has_pending_reports());
    open(&mut holder, 1);
    assert!(holder.has_pending_reports());
    let (report, to) = holder.take_report(at(200));
    assert_eq!(to, [balancer(0)]);
    assert_eq!((report.status, report.flows), (AgentStatus::Ready, 1));
    assert!(!holder.has_pending_reports());
}
