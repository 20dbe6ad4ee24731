//! A balancer asks the seeds for agents that the store does not list before it resets a flow.

use std::net::SocketAddrV4;

use arbutus_core::packet::{AgentStatus, LookupAnswer, LookupStep, Message, Steering};
use rstest::rstest;

use super::fixture::{
    PACKET, SERVICE, add_agents, agent, at, balancer, flow, listing, report, report_agents,
    request, steering_with_agents, steering_with_seeds,
};

const AGENTS: usize = 3;

/// Returns the state of balancer 0, which has looked flow 1 up at 5,000 ms. All agents that it knows
/// have denied the flow, and the store has listed no other one since.
fn after_denials(seeds: &[usize]) -> Steering {
    let mut steering = steering_with_seeds(seeds.iter().map(|it| balancer(*it)).collect());
    add_agents(&mut steering, AGENTS);
    steering.on_peer_agents(&[], true, at(100));
    report_agents(&mut steering, AGENTS, None, 4_900);
    steering.on_packet(&request(1, 900), PACKET, at(5_000));
    for index in 0..AGENTS {
        let step = steering.on_answer(agent(index), flow(1), LookupAnswer::NotOwned, at(5_001));
        assert_eq!(step, LookupStep::Wait);
    }
    steering.on_store_synced(at(5_001), at(5_002));
    steering
}

fn next_step(steering: &mut Steering, ms: u64) -> Option<LookupStep> {
    steering.expire_lookups(at(ms)).pop().map(|(_, step)| step)
}

fn sent_queries(steering: &mut Steering, ms: u64) -> Option<(u32, Vec<SocketAddrV4>)> {
    match steering.take_seed_queries(at(ms))? {
        (Message::UnlistedQuery { number, .. }, seeds) => Some((number, seeds)),
        (other, _) => panic!("another message: {other:?}"),
    }
}

/// Guards against the reset of a flow whose agent the store does not list and another balancer has
/// been told of.
#[test]
fn a_flow_is_not_reset_before_the_seeds_have_told_which_agents_the_store_does_not_list() {
    let mut steering = after_denials(&[0, 1]);
    assert_eq!(next_step(&mut steering, 5_002), None);
    let queries = sent_queries(&mut steering, 5_002);
    let (number, seeds) = queries.expect("a query");
    assert_eq!(seeds, [balancer(1)]);
    steering.on_unlisted_answer(
        balancer(1),
        number,
        &[listing(3, SERVICE, 1)],
        true,
        at(5_010),
    );
    let step = next_step(&mut steering, 5_010);
    assert_eq!(step, Some(LookupStep::Query(vec![agent(3)])));
    let found = steering.on_answer(agent(3), flow(1), LookupAnswer::Owned, at(5_020));
    assert!(matches!(found, LookupStep::Relay { .. }), "{found:?}");
}

#[test]
fn a_flow_is_reset_once_the_seeds_know_no_further_agent() {
    let mut steering = after_denials(&[1, 2]);
    let (number, seeds) = sent_queries(&mut steering, 5_002).expect("a query");
    assert_eq!(seeds, [balancer(1), balancer(2)]);
    steering.on_unlisted_answer(balancer(2), number, &[], true, at(5_010));
    assert_eq!(next_step(&mut steering, 5_010), None);
    steering.on_unlisted_answer(balancer(1), number, &[], true, at(5_011));
    let step = next_step(&mut steering, 5_011);
    assert!(matches!(step, Some(LookupStep::Reset { .. })), "{step:?}");
}

struct SilentSeeds {
    /// The balancers that agents introduce themselves to. This balancer is number 0.
    seeds: &'static [usize],
    /// The seeds that answer, with whether the answer is complete.
    answers: &'static [(usize, bool)],
    resets: bool,
}

#[rstest]
#[case::one_of_two_answers(SilentSeeds { seeds: &[1, 2], answers: &[(1, true)], resets: true })]
#[case::none_answers(SilentSeeds { seeds: &[1, 2], answers: &[], resets: false })]
#[case::none_answers_a_seed(SilentSeeds { seeds: &[0, 1], answers: &[], resets: true })]
#[case::an_answer_is_incomplete(
    SilentSeeds { seeds: &[1, 2], answers: &[(1, false), (2, true)], resets: false }
)]
fn seeds_that_do_not_answer_hold_up_resets_unless_others_know_as_much(#[case] case: SilentSeeds) {
    let mut steering = after_denials(case.seeds);
    let (number, seeds) = sent_queries(&mut steering, 5_002).expect("a query");
    for (seed, all) in case.answers {
        steering.on_unlisted_answer(balancer(*seed), number, &[], *all, at(5_010));
    }
    let answers = |seed: &SocketAddrV4| case.answers.iter().any(|(it, _)| balancer(*it) == *seed);
    if case.answers.iter().all(|(_, all)| *all) {
        let silent: Vec<_> = seeds.into_iter().filter(|it| !answers(it)).collect();
        for ms in [5_152, 5_302] {
            let repeated = sent_queries(&mut steering, ms);
            assert_eq!(repeated, Some((number, silent.clone())));
        }
        assert_eq!(sent_queries(&mut steering, 5_452), None);
    }
    let step = next_step(&mut steering, 5_453);
    let reset = matches!(step, Some(LookupStep::Reset { .. }));
    assert_eq!(reset, case.resets, "{step:?}");
}

#[test]
fn a_seed_that_stayed_silent_does_not_hold_up_later_lookups() {
    let mut steering = after_denials(&[1, 2]);
    let (number, _) = sent_queries(&mut steering, 5_002).expect("a query");
    steering.on_unlisted_answer(balancer(1), number, &[], true, at(5_010));
    for ms in [5_152, 5_302, 5_452] {
        sent_queries(&mut steering, ms);
    }
    assert!(next_step(&mut steering, 5_453).is_some());
    report_agents(&mut steering, AGENTS, None, 5_800);
    steering.on_packet(&request(2, 900), PACKET, at(5_900));
    for index in 0..AGENTS {
        steering.on_answer(agent(index), flow(2), LookupAnswer::NotOwned, at(5_901));
    }
    steering.on_store_synced(at(5_901), at(5_902));
    let (number, seeds) = sent_queries(&mut steering, 5_902).expect("a query");
    assert_eq!(seeds, [balancer(1), balancer(2)]);
    steering.on_unlisted_answer(balancer(1), number, &[], true, at(5_910));
    let step = next_step(&mut steering, 5_910);
    assert!(matches!(step, Some(LookupStep::Reset { .. })), "{step:?}");
}

#[test]
fn no_query_is_sent_while_no_lookup_waits_for_its_answer() {
    let mut steering = steering_with_seeds(vec![balancer(1)]);
    add_agents(&mut steering, AGENTS);
    steering.on_packet(&request(1, 900), PACKET, at(5_000));
    assert_eq!(sent_queries(&mut steering, 5_000), None);
}

#[test]
fn a_balancer_tells_of_the_agents_that_the_store_does_not_list_unless_they_have_ended() {
    let mut steering = steering_with_agents(AGENTS);
    steering.on_report(report(3, 1, AgentStatus::Ready, 0), at(10));
    steering.on_report(report(4, 1, AgentStatus::Ended, 0), at(10));
    steering.on_unlisted(agent(1));
    let Message::UnlistedAnswer { agents, all, .. } = steering.on_unlisted_query(7) else {
        panic!("another message");
    };
    let agents: Vec<_> = agents.iter().map(|it| it.agent).collect();
    assert_eq!(agents, [agent(1), agent(3)]);
    assert!(all);
}

#[test]
fn an_answer_with_more_agents_than_a_datagram_holds_is_marked_as_incomplete() {
    let mut steering = steering_with_agents(0);
    for index in 0..60 {
        steering.on_report(report(index, 1, AgentStatus::Ready, 0), at(10));
    }
    let answer = steering.on_unlisted_query(7);
    assert!(matches!(answer, Message::UnlistedAnswer { all: false, .. }));
    assert!(answer.encode(&[]).len() <= 1_400);
}
