use std::{sync::Arc, time::Duration};

use arbutus_core::packet::{
    AgentStatus, FlowId, LookupAnswer, LookupStep, RelayHeader, Steering, SteeringDecision,
};
use rstest::rstest;

use super::fixture::{
    OTHER_SERVICE, PACKET, SERVICE, agent, at, flow, listing, opening, report, report_agents,
    request, steering_with_agents,
};

/// Returns the steps with their agents sorted by address. They are in rendezvous order otherwise.
fn sorted(mut steps: Vec<(FlowId, LookupStep)>) -> Vec<(FlowId, LookupStep)> {
    for (_, step) in &mut steps {
        match step {
            LookupStep::Query(agents)
            | LookupStep::Abandon {
                missing: agents, ..
            } => agents.sort(),
            LookupStep::Wait | LookupStep::Relay { .. } | LookupStep::Reset { .. } => {}
        }
    }
    steps
}

/// Has the store list an agent of another failure domain than the balancer's.
fn add_remote_agent(steering: &mut Steering, index: usize, service: &str) {
    let mut remote = listing(index, service, 1);
    remote.failure_domain = Arc::from("b");
    steering.on_listed(&remote, at(0));
}

/// Has every agent answer that it does not own the flow, and returns the step after the last
/// answer.
fn deny_from_all(steering: &mut Steering, agents: usize, ms: u64) -> LookupStep {
    let mut step = LookupStep::Wait;
    for index in 0..agents {
        assert_eq!(step, LookupStep::Wait);
        step = steering.on_answer(agent(index), flow(1), LookupAnswer::NotOwned, at(ms));
    }
    step
}

/// Has the store tell at `ms` that it listed no further agent at `asked_ms`, and returns the next
/// step of the flow's lookup.
fn confirm_view(steering: &mut Steering, asked_ms: u64, ms: u64) -> LookupStep {
    steering.on_store_synced(at(asked_ms), at(ms));
    let mut steps = steering.expire_lookups(at(ms));
    steps.pop().map_or(LookupStep::Wait, |(_, step)| step)
}

#[test]
fn packets_of_an_open_flow_are_buffered_until_its_owner_is_found() {
    let mut steering = steering_with_agents(3);
    let decision = steering.on_packet(&request(1, 900), PACKET, at(1));
    assert!(
        matches!(&decision, SteeringDecision::Query(agents) if agents.len() == 3),
        "{decision:?}"
    );
    let second = steering.on_packet(&request(1, 900), b"second", at(2));
    assert_eq!(second, SteeringDecision::Buffered);
    match steering.on_answer(agent(1), flow(1), LookupAnswer::Owned, at(3)) {
        LookupStep::Relay { headers, packets } => {
            assert_eq!(headers.len(), 1);
            assert_eq!(headers[0].target(), Some(agent(1)));
            assert!(headers[0].owner_confirmed);
            assert_eq!(packets, [PACKET.to_vec(), b"second".to_vec()]);
        }
        other => panic!("not relayed: {other:?}"),
    }
}

#[test]
fn remote_agents_are_queried_when_the_local_ones_deny_the_flow() {
    let mut steering = steering_with_agents(2);
    add_remote_agent(&mut steering, 2, OTHER_SERVICE);
    let decision = steering.on_packet(&request(1, 900), PACKET, at(1));
    assert!(
        matches!(&decision, SteeringDecision::Query(agents) if agents.len() == 2),
        "{decision:?}"
    );
    let step = deny_from_all(&mut steering, 2, 2);
    let expected = LookupStep::Query(vec![agent(2)]);
    assert_eq!(step, expected);
}

#[test]
fn remote_agents_are_queried_when_a_local_one_does_not_answer() {
    let mut steering = steering_with_agents(2);
    add_remote_agent(&mut steering, 2, OTHER_SERVICE);
    steering.on_packet(&request(1, 900), PACKET, at(1));
    steering.on_answer(agent(0), flow(1), LookupAnswer::NotOwned, at(2));
    let late = steering.expire_lookups(at(61));
    let expected = LookupStep::Query(vec![agent(1), agent(2)]);
    assert_eq!(late, [(flow(1), expected)]);
    let found = steering.on_answer(agent(2), flow(1), LookupAnswer::Owned, at(70));
    assert!(matches!(found, LookupStep::Relay { .. }), "{found:?}");
}

#[test]
fn a_flow_that_all_agents_deny_is_reset_by_a_balancer_with_a_complete_view() {
    let mut steering = steering_with_agents(3);
    report_agents(&mut steering, 3, None, 3_400);
    steering.on_packet(&request(1, 900), PACKET, at(3_500));
    assert_eq!(deny_from_all(&mut steering, 3, 3_501), LookupStep::Wait);
    let step = confirm_view(&mut steering, 3_501, 3_508);
    let expected = LookupStep::Reset {
        flow: flow(1),
        acknowledged: 900,
        denied: 3,
        duration: Duration::from_millis(8),
        view_age: Duration::from_millis(7),
    };
    assert_eq!(step, expected);
}

/// Guards against the reset of a flow whose agent the store listed after the balancer last asked:
/// other balancers knew the agent and used it.
#[test]
fn a_flow_that_all_agents_deny_is_not_reset_before_the_store_was_asked_for_others() {
    let mut steering = steering_with_agents(3);
    report_agents(&mut steering, 3, None, 3_400);
    steering.on_store_synced(at(3_499), at(3_499));
    steering.on_packet(&request(1, 900), PACKET, at(3_500));
    assert_eq!(deny_from_all(&mut steering, 3, 3_501), LookupStep::Wait);
    assert_eq!(steering.expire_lookups(at(3_560)), []);
    assert!(steering.store_check_due().is_some_and(|it| it <= at(3_501)));
    steering.on_listed(&listing(3, SERVICE, 1), at(3_565));
    let step = confirm_view(&mut steering, 3_560, 3_565);
    assert_eq!(step, LookupStep::Query(vec![agent(3)]));
    let found = steering.on_answer(agent(3), flow(1), LookupAnswer::Owned, at(3_570));
    assert!(matches!(found, LookupStep::Relay { .. }), "{found:?}");
}

/// Guards against the reset of a flow whose agent entered the view during the lookup.
#[test]
fn a_flow_is_not_reset_before_an_agent_that_joined_during_the_lookup_has_denied_it() {
    let mut steering = steering_with_agents(3);
    report_agents(&mut steering, 3, None, 3_400);
    steering.on_packet(&request(1, 900), PACKET, at(3_500));
    steering.on_listed(&listing(3, SERVICE, 1), at(3_501));
    let step = deny_from_all(&mut steering, 3, 3_502);
    assert_eq!(step, LookupStep::Query(vec![agent(3)]));
    let denied = steering.on_answer(agent(3), flow(1), LookupAnswer::NotOwned, at(3_503));
    assert_eq!(denied, LookupStep::Wait);
    let step = confirm_view(&mut steering, 3_503, 3_510);
    assert!(
        matches!(step, LookupStep::Reset { denied: 4, .. }),
        "{step:?}"
    );
}

struct EndedAgent {
    /// Whether the store lists the agent when it is asked.
    listed: bool,
    queried: bool,
}

/// Guards against the reset of a flow of a backend server that has started again beside its agent:
/// the balancer had heard of the end of the process before, and not yet of the start.
#[rstest]
#[case::listed_again(EndedAgent { listed: true, queried: true })]
#[case::no_longer_listed(EndedAgent { listed: false, queried: false })]
fn an_agent_that_has_reported_its_end_is_queried_if_the_store_lists_it(#[case] case: EndedAgent) {
    let mut steering = steering_with_agents(3);
    report_agents(&mut steering, 3, None, 3_400);
    steering.on_report(report(2, 3_450, AgentStatus::Ended, 0), at(3_450));
    steering.on_packet(&request(1, 900), PACKET, at(3_500));
    assert_eq!(deny_from_all(&mut steering, 2, 3_501), LookupStep::Wait);
    steering.on_unlisted(agent(2));
    if case.listed {
        steering.on_listed(&listing(2, SERVICE, 1), at(3_508));
    }
    let step = confirm_view(&mut steering, 3_501, 3_508);
    let queried = step == LookupStep::Query(vec![agent(2)]);
    let reset = matches!(step, LookupStep::Reset { denied: 2, .. });
    assert_eq!((queried, reset), (case.queried, !case.queried), "{step:?}");
}

#[test]
fn a_lookup_is_abandoned_when_the_store_does_not_tell_which_agents_it_lists() {
    let mut steering = steering_with_agents(3);
    report_agents(&mut steering, 3, None, 3_400);
    steering.on_packet(&request(1, 900), PACKET, at(3_500));
    assert_eq!(deny_from_all(&mut steering, 3, 3_501), LookupStep::Wait);
    assert_eq!(confirm_view(&mut steering, 3_499, 4_699), LookupStep::Wait);
    let ended = steering.expire_lookups(at(4_700));
    assert!(
        matches!(&ended[..], [(_, LookupStep::Abandon { asked: 3, .. })]),
        "{ended:?}"
    );
    assert_eq!(steering.store_check_due(), None);
}

#[test]
fn one_check_of_the_store_serves_all_lookups_that_began_before_it() {
    let mut steering = steering_with_agents(3);
    report_agents(&mut steering, 3, None, 3_400);
    for (number, ms) in [(1, 3_500), (2, 3_510), (3, 3_530)] {
        steering.on_packet(&request(number, 900), PACKET, at(ms));
        for index in 0..3 {
            let denied = LookupAnswer::NotOwned;
            steering.on_answer(agent(index), flow(number), denied, at(ms));
        }
    }
    steering.on_store_check(at(3_520));
    steering.on_store_synced(at(3_520), at(3_540));
    let resets = steering.expire_lookups(at(3_540));
    let flows: Vec<_> = resets.iter().map(|(flow, _)| *flow).collect();
    assert_eq!(flows, [flow(1), flow(2)]);
    // The next check is not made before the last one is 250 ms old.
    assert_eq!(steering.store_check_due(), Some(at(3_770)));
}

#[test]
fn a_new_balancer_resets_a_flow_only_after_it_queried_all_agents_of_a_complete_view() {
    let mut steering = steering_with_agents(3);
    steering.on_peer_agents(&[], false, at(601));
    steering.on_packet(&request(1, 900), PACKET, at(400));
    assert_eq!(deny_from_all(&mut steering, 3, 401), LookupStep::Wait);
    assert_eq!(steering.expire_lookups(at(640)), []);
    let again = sorted(steering.expire_lookups(at(701)));
    let everyone = LookupStep::Query(vec![agent(0), agent(1), agent(2)]);
    assert_eq!(again, [(flow(1), everyone)]);
    assert_eq!(deny_from_all(&mut steering, 3, 702), LookupStep::Wait);
    let step = confirm_view(&mut steering, 702, 709);
    assert!(matches!(step, LookupStep::Reset { .. }), "{step:?}");
}

#[test]
fn an_agent_that_joins_while_a_lookup_is_parked_is_queried_too() {
    let mut steering = steering_with_agents(2);
    steering.on_peer_agents(&[], false, at(601));
    steering.on_packet(&request(1, 900), PACKET, at(400));
    assert_eq!(deny_from_all(&mut steering, 2, 401), LookupStep::Wait);
    steering.on_listed(&listing(2, SERVICE, 1), at(500));
    steering.expire_lookups(at(701));
    assert_eq!(deny_from_all(&mut steering, 2, 702), LookupStep::Wait);
    let found = steering.on_answer(agent(2), flow(1), LookupAnswer::Owned, at(703));
    assert!(matches!(found, LookupStep::Relay { .. }), "{found:?}");
}

#[test]
fn a_parked_lookup_is_abandoned_when_the_view_stays_incomplete() {
    let mut steering = steering_with_agents(3);
    steering.on_store_status(false, at(300));
    steering.on_packet(&request(1, 900), PACKET, at(400));
    assert_eq!(deny_from_all(&mut steering, 3, 401), LookupStep::Wait);
    assert_eq!(steering.expire_lookups(at(1_599)), []);
    let ended = steering.expire_lookups(at(1_600));
    assert!(
        matches!(&ended[..], [(_, LookupStep::Abandon { asked: 3, .. })]),
        "{ended:?}"
    );
}

#[test]
fn questions_about_many_flows_are_sent_in_one_datagram_per_agent() {
    let mut steering = steering_with_agents(3);
    steering.on_packet(&request(1, 900), PACKET, at(400));
    assert_eq!(steering.take_queries(at(400)).len(), 3);
    for number in 2..=50 {
        steering.on_packet(&request(number, 900), PACKET, at(400));
    }
    assert_eq!(steering.take_queries(at(401)), []);
    assert_eq!(steering.next_queries_at(), Some(at(403)));
    let batches = steering.take_queries(at(403));
    assert_eq!(batches.len(), 3);
    assert!(batches.iter().all(|it| it.questions.len() == 49));
    assert_eq!(steering.next_queries_at(), None);
}

#[test]
fn answers_are_matched_to_questions_by_order_and_only_once() {
    let mut steering = steering_with_agents(3);
    steering.on_packet(&request(1, 900), PACKET, at(400));
    let first = steering.take_queries(at(400));
    for number in 2..=3 {
        steering.on_packet(&request(number, 900), PACKET, at(401));
    }
    let second = steering.take_queries(at(410));
    let batch = second
        .iter()
        .find(|it| it.agent == agent(1))
        .expect("a batch for the agent");
    let flows: Vec<_> = batch.questions.iter().map(|it| it.flow).collect();
    let answers = [LookupAnswer::NotOwned, LookupAnswer::Owned];
    // Answers of another agent to the same batch are ignored.
    assert_eq!(
        steering.on_answers(agent(2), batch.number, &answers, at(411)),
        []
    );
    let steps = steering.on_answers(agent(1), batch.number, &answers, at(411));
    assert_eq!(steps[0], (flows[0], LookupStep::Wait));
    assert_eq!(steps[1].0, flows[1]);
    assert!(matches!(steps[1].1, LookupStep::Relay { .. }));
    assert_eq!(
        steering.on_answers(agent(1), batch.number, &answers, at(412)),
        []
    );
    assert!(first.iter().all(|it| it.number != batch.number));
}

#[test]
fn the_agents_among_which_a_flow_was_placed_are_queried_first() {
    let mut steering = steering_with_agents(40);
    let opened = steering.on_packet(&opening(1, 0), PACKET, at(1));
    let SteeringDecision::Relay { header, .. } = &opened else {
        panic!("not relayed: {opened:?}");
    };
    let candidates = header.candidates().to_vec();
    let mut other = steering_with_agents(40);
    let decision = other.on_packet(&request(1, 900), PACKET, at(1));
    let SteeringDecision::Query(queried) = &decision else {
        panic!("no query: {decision:?}");
    };
    assert!(queried.len() < 20, "{} at once", queried.len());
    assert!(candidates.iter().all(|it| queried.contains(it)));
    let mut step = LookupStep::Wait;
    for agent in queried {
        step = other.on_answer(*agent, flow(1), LookupAnswer::NotOwned, at(2));
    }
    assert!(
        matches!(&step, LookupStep::Query(others) if others.len() + queried.len() == 40),
        "{step:?}"
    );
}

#[test]
fn a_flow_of_a_large_service_is_reset_once_when_every_agent_has_denied_it() {
    const AGENTS: usize = 240;
    let mut steering = steering_with_agents(AGENTS);
    steering.on_peer_agents(&[], true, at(1));
    steering.on_packet(&request(1, 900), PACKET, at(2));
    let mut steps: Vec<_> = (0..2)
        .flat_map(|_| 0..AGENTS)
        .map(|it| steering.on_answer(agent(it), flow(1), LookupAnswer::NotOwned, at(3)))
        .collect();
    steps.push(confirm_view(&mut steering, 3, 4));
    steps.push(confirm_view(&mut steering, 5, 6));
    let resets = steps
        .iter()
        .filter(|it| matches!(it, LookupStep::Reset { denied: AGENTS, .. }));
    assert_eq!(resets.count(), 1);
}

#[test]
fn questions_to_likely_owners_are_not_delayed_by_those_to_all_other_agents() {
    let mut steering = steering_with_agents(200);
    let decision = steering.on_packet(&request(1, 900), PACKET, at(400));
    steering.take_queries(at(400));
    let SteeringDecision::Query(queried) = decision else {
        panic!("no query: {decision:?}");
    };
    for agent in &queried {
        steering.on_answer(*agent, flow(1), LookupAnswer::NotOwned, at(401));
    }
    assert_eq!(steering.take_queries(at(401)).len(), 200 - queried.len());
    steering.on_packet(&request(2, 900), PACKET, at(420));
    assert!(steering.next_queries_at().is_some_and(|it| it <= at(420)));
    assert_eq!(steering.take_queries(at(420)).len(), queried.len());
}

#[test]
fn no_question_is_sent_about_a_flow_whose_owner_has_been_found() {
    let mut steering = steering_with_agents(3);
    steering.on_packet(&request(1, 900), PACKET, at(400));
    steering.take_queries(at(400));
    steering.on_packet(&request(2, 900), PACKET, at(401));
    steering.on_flow_owned(agent(0), flow(2), true, at(402));
    assert_eq!(steering.take_queries(at(403)), []);
}

#[test]
fn local_agents_with_unknown_flows_get_the_trial_packet_before_remote_agents_are_queried() {
    let mut steering = steering_with_agents(2);
    add_remote_agent(&mut steering, 2, OTHER_SERVICE);
    steering.on_peer_agents(&[], true, at(1));
    steering.on_packet(&request(1, 900), PACKET, at(2));
    steering.on_answer(agent(0), flow(1), LookupAnswer::Unknown, at(3));
    let tried = steering.on_answer(agent(1), flow(1), LookupAnswer::NotOwned, at(3));
    assert!(
        matches!(&tried, LookupStep::Relay { headers, .. } if headers.len() == 1),
        "{tried:?}"
    );
    // A late answer to a repeated question is ignored.
    let late = steering.on_answer(agent(0), flow(1), LookupAnswer::Unknown, at(4));
    assert_eq!(late, LookupStep::Wait);
    let bounced = steering.on_answer(agent(0), flow(1), LookupAnswer::NotOwned, at(5));
    assert_eq!(bounced, LookupStep::Query(vec![agent(2)]));
}

#[test]
fn a_trial_packet_without_a_response_does_not_block_trials_at_other_agents() {
    let mut steering = steering_with_agents(1);
    add_remote_agent(&mut steering, 1, SERVICE);
    steering.on_peer_agents(&[], true, at(1));
    steering.on_packet(&request(1, 900), PACKET, at(2));
    let tried = steering.on_answer(agent(0), flow(1), LookupAnswer::Unknown, at(3));
    assert!(matches!(tried, LookupStep::Relay { .. }), "{tried:?}");
    let late = steering.expire_lookups(at(70));
    assert!(late.contains(&(flow(1), LookupStep::Query(vec![agent(1)]))));
    match steering.on_answer(agent(1), flow(1), LookupAnswer::Unknown, at(75)) {
        LookupStep::Relay { headers, .. } => {
            assert_eq!(headers[0].target(), Some(agent(1)));
            assert!(headers[0].last_resort);
        }
        other => panic!("not tried: {other:?}"),
    }
}

/// Guards against a lost trial packet whose copy is the third packet of a flow at other backend
/// servers.
#[test]
fn a_trial_packet_is_not_repeated_before_all_agents_have_been_queried() {
    let mut steering = steering_with_agents(1);
    add_remote_agent(&mut steering, 1, SERVICE);
    steering.on_peer_agents(&[], true, at(1));
    steering.on_packet(&request(1, 900), PACKET, at(2));
    steering.on_answer(agent(0), flow(1), LookupAnswer::Unknown, at(3));
    let early = steering.expire_lookups(at(70));
    assert_eq!(early, [(flow(1), LookupStep::Query(vec![agent(1)]))]);
    steering.on_answer(agent(1), flow(1), LookupAnswer::NotOwned, at(75));
    let late = steering.expire_lookups(at(260));
    match &late[..] {
        [(_, LookupStep::Relay { headers, .. })] => {
            assert_eq!(headers[0].target(), Some(agent(0)));
        }
        other => panic!("not tried again: {other:?}"),
    }
}

#[test]
fn the_trial_packet_is_the_smallest_one_that_requires_a_response_and_the_others_follow() {
    let mut steering = steering_with_agents(2);
    steering.on_peer_agents(&[], true, at(1));
    let mut bare = request(1, 900);
    bare.payload_len = 0;
    steering.on_packet(&bare, b"-", at(2));
    steering.on_packet(&request(1, 900), b"a large one", at(2));
    steering.on_packet(&request(1, 900), b"small", at(2));
    steering.on_answer(agent(0), flow(1), LookupAnswer::Unknown, at(3));
    match steering.on_answer(agent(1), flow(1), LookupAnswer::NotOwned, at(3)) {
        LookupStep::Relay { packets, .. } => assert_eq!(packets, [b"small".to_vec()]),
        other => panic!("not tried: {other:?}"),
    }
    match steering.on_flow_owned(agent(0), flow(1), true, at(4)) {
        LookupStep::Relay { headers, packets } => {
            assert_eq!(headers[0].target(), Some(agent(0)));
            assert_eq!(packets, [b"-".to_vec(), b"a large one".to_vec()]);
        }
        other => panic!("not relayed: {other:?}"),
    }
}

#[test]
fn a_new_balancer_has_a_complete_view_after_a_snapshot_of_a_complete_view() {
    let mut steering = steering_with_agents(2);
    assert!(!steering.snapshot(at(400)).settled);
    steering.on_peer_agents(&[listing(2, SERVICE, 1)], true, at(400));
    assert!(steering.snapshot(at(400)).settled);
    steering.on_packet(&request(1, 900), PACKET, at(401));
    assert_eq!(deny_from_all(&mut steering, 3, 402), LookupStep::Wait);
    let step = confirm_view(&mut steering, 402, 409);
    assert!(matches!(step, LookupStep::Reset { .. }), "{step:?}");
}

#[test]
fn a_balancer_that_lost_the_store_does_not_reset_until_agents_had_time_to_be_listed_again() {
    let mut steering = steering_with_agents(3);
    steering.on_store_status(false, at(5_000));
    steering.on_store_status(true, at(6_000));
    for (ms, resets) in [(7_000, false), (8_600, true)] {
        report_agents(&mut steering, 3, None, ms);
        // Ends the lookup of the row before, which has waited for longer than callers do.
        steering.expire_lookups(at(ms - 300));
        steering.on_packet(&request(1, 900), PACKET, at(ms));
        assert_eq!(deny_from_all(&mut steering, 3, ms), LookupStep::Wait);
        let step = confirm_view(&mut steering, ms, ms);
        let reset = matches!(step, LookupStep::Reset { .. });
        assert_eq!(reset, resets, "at {ms} ms: {step:?}");
    }
}

#[test]
fn a_balancer_does_not_reset_while_an_agent_is_silent() {
    let mut steering = steering_with_agents(3);
    steering.on_packet(&request(2, 900), PACKET, at(3_000));
    report_agents(&mut steering, 3, Some(2), 3_800);
    steering.on_packet(&request(1, 900), PACKET, at(3_800));
    assert_eq!(deny_from_all(&mut steering, 2, 3_801), LookupStep::Wait);
    report_agents(&mut steering, 3, Some(2), 5_000);
    let steps = steering.expire_lookups(at(5_000));
    let step = steps.iter().find(|it| it.0 == flow(1)).map(|it| &it.1);
    assert!(matches!(step, Some(LookupStep::Abandon { .. })), "{step:?}");
}

#[test]
fn agents_with_unknown_flows_get_the_trial_packet_only_after_every_agent_has_answered() {
    let mut steering = steering_with_agents(3);
    steering.on_peer_agents(&[], true, at(1));
    steering.on_packet(&request(1, 900), PACKET, at(1));
    steering.on_answer(agent(0), flow(1), LookupAnswer::Unknown, at(2));
    let early = steering.on_answer(agent(1), flow(1), LookupAnswer::NotOwned, at(2));
    assert_eq!(early, LookupStep::Wait);
    match steering.on_answer(agent(2), flow(1), LookupAnswer::Unknown, at(2)) {
        LookupStep::Relay { headers, .. } => {
            let agents: Vec<_> = headers.iter().filter_map(RelayHeader::target).collect();
            assert_eq!(agents, [agent(0), agent(2)]);
            assert!(
                headers
                    .iter()
                    .all(|it| it.last_resort && !it.owner_confirmed)
            );
        }
        other => panic!("not tried: {other:?}"),
    }
}

#[test]
fn a_balancer_that_lost_the_store_sends_no_trial_packet() {
    let mut steering = steering_with_agents(2);
    steering.on_store_status(false, at(0));
    assert!(steering.needs_peer_sync(at(60_000)));
    steering.on_packet(&request(1, 900), PACKET, at(1));
    steering.on_answer(agent(0), flow(1), LookupAnswer::NotOwned, at(2));
    let step = steering.on_answer(agent(1), flow(1), LookupAnswer::Unknown, at(2));
    assert_eq!(step, LookupStep::Wait);
    let ended = steering.expire_lookups(at(1_201));
    assert!(
        matches!(&ended[..], [(_, LookupStep::Abandon { .. })]),
        "{ended:?}"
    );
}

#[test]
fn a_lookup_without_answers_is_retried_and_then_abandoned() {
    let mut steering = steering_with_agents(3);
    steering.on_packet(&request(1, 900), PACKET, at(0));
    assert_eq!(steering.expire_lookups(at(179)), []);
    for ms in [180, 360] {
        let repeated = sorted(steering.expire_lookups(at(ms)));
        let expected = LookupStep::Query(vec![agent(0), agent(1), agent(2)]);
        assert_eq!(repeated, [(flow(1), expected)]);
    }
    let ended = sorted(steering.expire_lookups(at(540)));
    let expected = LookupStep::Abandon {
        asked: 3,
        missing: vec![agent(0), agent(1), agent(2)],
    };
    assert_eq!(ended, [(flow(1), expected)]);
    assert_eq!(steering.expire_lookups(at(9_000)), []);
}
