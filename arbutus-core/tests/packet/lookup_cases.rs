use arbutus_core::packet::{
    FlowId, LookupAnswer, LookupStep, RelayHeader, Steering, SteeringDecision,
};

use super::fixture::{
    OTHER, PACKET, SERVICE, agent, at, flow, hear, knowing, listing, opening, request,
};

/// The steps with their agents in the order of their addresses: they come in that of the flow's rank.
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

/// Answers of all agents but `last` that deny the flow; gives what the last one's does.
fn all_deny(steering: &mut Steering, agents: usize, ms: u64) -> LookupStep {
    let mut step = LookupStep::Wait;
    for index in 0..agents {
        assert_eq!(step, LookupStep::Wait);
        step = steering.on_answer(agent(index), flow(1), LookupAnswer::NotOwned, at(ms));
    }
    step
}

#[test]
fn an_open_flow_that_is_not_known_is_asked_for_and_its_packets_wait() {
    let mut steering = knowing(3);
    let asked = steering.on_packet(&request(1, 900), PACKET, at(1));
    assert!(
        matches!(&asked, SteeringDecision::Query(agents) if agents.len() == 3),
        "{asked:?}"
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
fn agents_elsewhere_are_asked_when_those_nearby_deny_the_flow() {
    let mut steering = knowing(2);
    let mut far = listing(2, OTHER, 1);
    far.failure_domain = std::sync::Arc::from("b");
    steering.on_listed(&far, at(0));
    let asked = steering.on_packet(&request(1, 900), PACKET, at(1));
    assert!(
        matches!(&asked, SteeringDecision::Query(agents) if agents.len() == 2),
        "{asked:?}"
    );
    let step = all_deny(&mut steering, 2, 2);
    let expected = LookupStep::Query(vec![agent(2)]);
    assert_eq!(step, expected);
}

#[test]
fn agents_elsewhere_are_asked_when_one_nearby_does_not_answer() {
    let mut steering = knowing(2);
    let mut far = listing(2, OTHER, 1);
    far.failure_domain = std::sync::Arc::from("b");
    steering.on_listed(&far, at(0));
    steering.on_packet(&request(1, 900), PACKET, at(1));
    steering.on_answer(agent(0), flow(1), LookupAnswer::NotOwned, at(2));
    let late = steering.expire_lookups(at(61));
    let expected = LookupStep::Query(vec![agent(1), agent(2)]);
    assert_eq!(late, [(flow(1), expected)]);
    let found = steering.on_answer(agent(2), flow(1), LookupAnswer::Owned, at(70));
    assert!(matches!(found, LookupStep::Relay { .. }), "{found:?}");
}

#[test]
fn a_flow_that_everyone_denies_is_reset_by_a_balancer_that_trusts_its_view() {
    let mut steering = knowing(3);
    hear(&mut steering, 3, None, 3_400);
    steering.on_packet(&request(1, 900), PACKET, at(3_500));
    let step = all_deny(&mut steering, 3, 3_501);
    let expected = LookupStep::Reset {
        flow: flow(1),
        acknowledged: 900,
        denied: 3,
    };
    assert_eq!(step, expected);
}

#[test]
fn a_new_balancer_does_not_reset_until_it_trusts_its_view_and_has_asked_everyone_again() {
    let mut steering = knowing(3);
    steering.on_peer_agents(&[], false, at(601));
    steering.on_packet(&request(1, 900), PACKET, at(400));
    assert_eq!(all_deny(&mut steering, 3, 401), LookupStep::Wait);
    assert_eq!(steering.expire_lookups(at(640)), []);
    let again = sorted(steering.expire_lookups(at(701)));
    let everyone = LookupStep::Query(vec![agent(0), agent(1), agent(2)]);
    assert_eq!(again, [(flow(1), everyone)]);
    let step = all_deny(&mut steering, 3, 702);
    assert!(matches!(step, LookupStep::Reset { .. }), "{step:?}");
}

#[test]
fn an_agent_that_came_while_a_search_waited_is_asked_too() {
    let mut steering = knowing(2);
    steering.on_peer_agents(&[], false, at(601));
    steering.on_packet(&request(1, 900), PACKET, at(400));
    assert_eq!(all_deny(&mut steering, 2, 401), LookupStep::Wait);
    steering.on_listed(&listing(2, SERVICE, 1), at(500));
    steering.expire_lookups(at(701));
    assert_eq!(all_deny(&mut steering, 2, 702), LookupStep::Wait);
    let found = steering.on_answer(agent(2), flow(1), LookupAnswer::Owned, at(703));
    assert!(matches!(found, LookupStep::Relay { .. }), "{found:?}");
}

#[test]
fn a_search_does_not_wait_long_for_a_view_that_does_not_settle() {
    let mut steering = knowing(3);
    steering.on_store_status(false, at(300));
    steering.on_packet(&request(1, 900), PACKET, at(400));
    assert_eq!(all_deny(&mut steering, 3, 401), LookupStep::Wait);
    assert_eq!(steering.expire_lookups(at(1_599)), []);
    let ended = steering.expire_lookups(at(1_600));
    assert!(
        matches!(&ended[..], [(_, LookupStep::Abandon { asked: 3, .. })]),
        "{ended:?}"
    );
}

#[test]
fn questions_for_many_flows_leave_in_one_datagram_an_agent() {
    let mut steering = knowing(3);
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
fn answers_are_read_in_the_order_of_the_questions_and_once() {
    let mut steering = knowing(3);
    steering.on_packet(&request(1, 900), PACKET, at(400));
    let first = steering.take_queries(at(400));
    for number in 2..=3 {
        steering.on_packet(&request(number, 900), PACKET, at(401));
    }
    let second = steering.take_queries(at(410));
    let batch = second
        .iter()
        .find(|it| it.agent == agent(1))
        .expect("asked");
    let flows: Vec<_> = batch.questions.iter().map(|it| it.flow).collect();
    let answers = [LookupAnswer::NotOwned, LookupAnswer::Owned];
    // Another agent's answer, and one to another question, are not taken for it.
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
fn the_agents_among_which_a_flow_was_placed_are_asked_first() {
    let mut steering = knowing(40);
    let opened = steering.on_packet(&opening(1, 0), PACKET, at(1));
    let SteeringDecision::Relay { header, .. } = &opened else {
        panic!("not relayed: {opened:?}");
    };
    let candidates = header.candidates().to_vec();
    let mut other = knowing(40);
    let asked = other.on_packet(&request(1, 900), PACKET, at(1));
    let SteeringDecision::Query(asked) = &asked else {
        panic!("not asked: {asked:?}");
    };
    assert!(asked.len() < 20, "{} at once", asked.len());
    assert!(candidates.iter().all(|it| asked.contains(it)));
    let mut step = LookupStep::Wait;
    for agent in asked {
        step = other.on_answer(*agent, flow(1), LookupAnswer::NotOwned, at(2));
    }
    assert!(
        matches!(&step, LookupStep::Query(others) if others.len() + asked.len() == 40),
        "{step:?}"
    );
}

#[test]
fn a_flow_of_a_large_service_is_reset_once_every_agent_has_denied_it() {
    const AGENTS: usize = 240;
    let mut steering = knowing(AGENTS);
    steering.on_peer_agents(&[], true, at(1));
    steering.on_packet(&request(1, 900), PACKET, at(2));
    let steps: Vec<_> = (0..2)
        .flat_map(|_| 0..AGENTS)
        .map(|it| steering.on_answer(agent(it), flow(1), LookupAnswer::NotOwned, at(3)))
        .collect();
    let resets = steps
        .iter()
        .filter(|it| matches!(it, LookupStep::Reset { denied: AGENTS, .. }));
    assert_eq!(resets.count(), 1);
}

#[test]
fn questions_to_the_likely_agents_do_not_wait_for_those_to_all_others() {
    let mut steering = knowing(200);
    let asked = steering.on_packet(&request(1, 900), PACKET, at(400));
    steering.take_queries(at(400));
    let SteeringDecision::Query(asked) = asked else {
        panic!("not asked: {asked:?}");
    };
    for agent in &asked {
        steering.on_answer(*agent, flow(1), LookupAnswer::NotOwned, at(401));
    }
    assert_eq!(steering.take_queries(at(401)).len(), 200 - asked.len());
    steering.on_packet(&request(2, 900), PACKET, at(420));
    assert!(steering.next_queries_at().is_some_and(|it| it <= at(420)));
    assert_eq!(steering.take_queries(at(420)).len(), asked.len());
}

#[test]
fn a_flow_that_is_found_is_asked_for_no_longer() {
    let mut steering = knowing(3);
    steering.on_packet(&request(1, 900), PACKET, at(400));
    steering.take_queries(at(400));
    steering.on_packet(&request(2, 900), PACKET, at(401));
    steering.on_flow_owned(agent(0), flow(2), true, at(402));
    assert_eq!(steering.take_queries(at(403)), []);
}

#[test]
fn nearby_agents_that_cannot_tell_try_before_others_are_asked() {
    let mut steering = knowing(2);
    let mut far = listing(2, OTHER, 1);
    far.failure_domain = std::sync::Arc::from("b");
    steering.on_listed(&far, at(0));
    steering.on_peer_agents(&[], true, at(1));
    steering.on_packet(&request(1, 900), PACKET, at(2));
    steering.on_answer(agent(0), flow(1), LookupAnswer::Unknown, at(3));
    let tried = steering.on_answer(agent(1), flow(1), LookupAnswer::NotOwned, at(3));
    assert!(
        matches!(&tried, LookupStep::Relay { headers, .. } if headers.len() == 1),
        "{tried:?}"
    );
    // A late answer to a repeated question says nothing new.
    let late = steering.on_answer(agent(0), flow(1), LookupAnswer::Unknown, at(4));
    assert_eq!(late, LookupStep::Wait);
    let bounced = steering.on_answer(agent(0), flow(1), LookupAnswer::NotOwned, at(5));
    assert_eq!(bounced, LookupStep::Query(vec![agent(2)]));
}

#[test]
fn an_agent_whose_backend_server_does_not_answer_a_try_does_not_keep_others_from_trying() {
    let mut steering = knowing(1);
    let mut far = listing(1, SERVICE, 1);
    far.failure_domain = std::sync::Arc::from("b");
    steering.on_listed(&far, at(0));
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

#[test]
fn a_try_takes_the_smallest_packet_that_must_be_answered_and_the_rest_follow() {
    let mut steering = knowing(2);
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
fn a_new_balancer_trusts_its_view_once_one_that_does_has_told_it_what_it_knows() {
    let mut steering = knowing(2);
    assert!(!steering.snapshot(at(400)).settled);
    steering.on_peer_agents(&[listing(2, SERVICE, 1)], true, at(400));
    assert!(steering.snapshot(at(400)).settled);
    steering.on_packet(&request(1, 900), PACKET, at(401));
    let step = all_deny(&mut steering, 3, 402);
    assert!(matches!(step, LookupStep::Reset { .. }), "{step:?}");
}

#[test]
fn a_balancer_that_lost_the_store_does_not_reset_until_agents_can_be_listed_again() {
    let mut steering = knowing(3);
    steering.on_store_status(false, at(5_000));
    steering.on_store_status(true, at(6_000));
    for (ms, resets) in [(7_000, false), (8_600, true)] {
        hear(&mut steering, 3, None, ms);
        steering.expire_lookups(at(ms));
        steering.on_packet(&request(1, 900), PACKET, at(ms));
        let step = all_deny(&mut steering, 3, ms);
        let reset = matches!(step, LookupStep::Reset { .. });
        assert_eq!(reset, resets, "at {ms} ms: {step:?}");
    }
}

#[test]
fn a_balancer_does_not_reset_while_an_agent_is_silent() {
    let mut steering = knowing(3);
    steering.on_packet(&request(2, 900), PACKET, at(3_000));
    hear(&mut steering, 3, Some(2), 3_800);
    steering.on_packet(&request(1, 900), PACKET, at(3_800));
    assert_eq!(all_deny(&mut steering, 2, 3_801), LookupStep::Wait);
    hear(&mut steering, 3, Some(2), 5_000);
    let steps = steering.expire_lookups(at(5_000));
    let step = steps.iter().find(|it| it.0 == flow(1)).map(|it| &it.1);
    assert!(matches!(step, Some(LookupStep::Abandon { .. })), "{step:?}");
}

#[test]
fn agents_that_cannot_tell_try_only_when_every_agent_has_answered() {
    let mut steering = knowing(3);
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
fn agents_that_cannot_tell_do_not_try_for_a_balancer_that_lost_the_store() {
    let mut steering = knowing(2);
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
fn a_search_without_answers_is_repeated_and_ends() {
    let mut steering = knowing(3);
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
