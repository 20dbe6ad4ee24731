//! Parsing of the events on an experiment's command line.

use std::{sync::Arc, time::Duration};

use arbutus_lab::{
    backend::Behaviour,
    events::{Action, Event, EventError, Node, StoreBehaviour},
    fabric::LinkFaults,
};
use rstest::rstest;

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

struct Case {
    text: &'static str,
    at: Duration,
    action: Action,
}

#[rstest]
#[case::a_balancer_is_killed(Case {
    text: "3s kill balancer-1", at: s(3), action: Action::Kill(Node::balancer(1)),
})]
#[case::an_agent_is_stopped(Case {
    text: "4s stop agent-2", at: s(4), action: Action::Stop(Node::agent(2)),
})]
#[case::an_agent_is_paused(Case {
    text: "5s pause agent-3 for 2s", at: s(5), action: Action::Pause(Node::agent(3), s(2)),
})]
#[case::an_agent_is_drained(Case {
    text: "6s drain agent-4", at: s(6), action: Action::Drain(Node::agent(4)),
})]
#[case::a_drain_is_cancelled(Case {
    text: "6.5s undrain agent-4",
    at: Duration::from_millis(6_500),
    action: Action::Undrain(Node::agent(4)),
})]
#[case::the_store_is_down(Case {
    text: "2s store down for 5s", at: s(2), action: Action::Store(StoreBehaviour::Down(s(5))),
})]
#[case::the_store_is_slow(Case {
    text: "2s store slow 300ms for 5s",
    at: s(2),
    action: Action::Store(StoreBehaviour::Slow {
        delay: Duration::from_millis(300),
        duration: s(5),
    }),
})]
#[case::the_store_loses_an_answer(Case {
    text: "2s store lose-answer",
    at: s(2),
    action: Action::Store(StoreBehaviour::LoseAnswer),
})]
#[case::links_lose_and_delay(Case {
    text: "4s fabric loss 2% delay 5ms..20ms for 3s",
    at: s(4),
    action: Action::Links(LinkFaults::none().loss_percent(2.0).delay_us(5_000, 20_000), s(3)),
})]
#[case::links_reorder_and_duplicate(Case {
    text: "4s fabric reorder 1.5% duplicate 1% for 3s",
    at: s(4),
    action: Action::Links(LinkFaults::none().reorder_percent(1.5).duplicate_percent(1.0), s(3)),
})]
#[case::an_agent_is_started(Case {
    text: "5s start agent-8", at: s(5), action: Action::Start(Node::agent(8)),
})]
#[case::a_balancer_is_started(Case {
    text: "5s start balancer-4", at: s(5), action: Action::Start(Node::balancer(4)),
})]
#[case::an_agent_is_replaced(Case {
    text: "5s replace agent-2", at: s(5), action: Action::Replace(Node::agent(2)),
})]
#[case::a_failure_domain_is_cut_off(Case {
    text: "250ms cut zone-1 for 2s",
    at: Duration::from_millis(250),
    action: Action::Cut(Arc::from("zone-1"), s(2)),
})]
#[case::a_backend_server_misbehaves(Case {
    text: "3s backend backend-2 slow for 2s",
    at: s(3),
    action: Action::Backend(Node::agent(2), Behaviour::Slow, s(2)),
})]
fn an_event_is_parsed(#[case] case: Case) {
    let event: Event = case.text.parse().expect("an event");
    assert_eq!(event.at, case.at);
    assert_eq!(event.action, case.action);
    assert_eq!(&*event.text, case.text);
}

#[rstest]
#[case::empty_text("", "the event lacks a duration like 2s or 250ms")]
#[case::duration_without_unit("3 kill agent-1", "expected a duration like 2s or 250ms, found `3`")]
#[case::negative_duration(
    "-3s kill agent-1",
    "expected a duration like 2s or 250ms, found `-3s`"
)]
#[case::missing_node("3s kill", "the event lacks a node like balancer-1 or agent-2")]
#[case::node_number_zero(
    "3s kill agent-0",
    "expected a node like balancer-1 or agent-2, found `agent-0`"
)]
#[case::drain_of_a_balancer(
    "3s drain balancer-1",
    "expected an agent like agent-2, found `balancer-1`"
)]
#[case::pause_without_duration("3s pause agent-1", "the event lacks `for`")]
#[case::percentage_above_100(
    "3s fabric loss 101% for 1s",
    "expected a percentage like 2%, found `101%`"
)]
#[case::decreasing_range(
    "3s fabric delay 20ms..5ms for 1s",
    "expected a range of durations like 5ms..20ms, found `20ms..5ms`"
)]
#[case::link_faults_without_duration(
    "3s fabric loss 2%",
    "the event lacks one of loss, delay, reorder, duplicate, for"
)]
#[case::trailing_word("3s kill agent-1 now", "unexpected `now` at the end of the event")]
fn an_invalid_event_is_rejected(#[case] text: &str, #[case] message: &str) {
    let error: EventError = text.parse::<Event>().expect_err("an invalid event");
    assert_eq!(error.to_string(), message);
}
