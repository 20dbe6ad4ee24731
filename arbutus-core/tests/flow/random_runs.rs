use std::time::Duration;

use arbutus_core::{
    flow::{Admission, Event, FlowLimits, FlowPolicy},
    roster::AgentState,
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

use super::fleet::{Fleet, Way, key};

const AGENTS: usize = 4;
const CONNECTIONS: u32 = 6;

/// One step of a run; agents and flows are few, so that steps meet.
#[derive(Debug, Clone)]
enum Step {
    /// A first packet, from a balancer that names agents of its own choice.
    Flow {
        flow: u64,
        named: Vec<usize>,
    },
    Opened {
        agent: usize,
        flow: u64,
    },
    Closed {
        agent: usize,
        flow: u64,
    },
    Requests {
        agent: usize,
        running: u32,
    },
    Shed {
        agent: usize,
    },
    Drain {
        agent: usize,
    },
    Resume {
        agent: usize,
    },
    /// The roster that one agent sees calls another one by a state.
    List {
        agent: usize,
        other: usize,
        state: AgentState,
    },
    Links {
        up: bool,
    },
    Wait {
        millis: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let agent = 0..AGENTS;
    let flow = 0_u64..40;
    let named = Just((0..AGENTS).collect::<Vec<_>>()).prop_shuffle();
    let state = prop_oneof![
        Just(AgentState::Ready),
        Just(AgentState::Draining),
        Just(AgentState::Suspect),
        Just(AgentState::Gone),
    ];
    prop_oneof![
        8 => (flow.clone(), named, 1..=AGENTS).prop_map(|(flow, mut named, length)| {
            named.truncate(length);
            Step::Flow { flow, named }
        }),
        4 => (agent.clone(), flow.clone()).prop_map(|(agent, flow)| Step::Opened { agent, flow }),
        4 => (agent.clone(), flow).prop_map(|(agent, flow)| Step::Closed { agent, flow }),
        3 => (agent.clone(), 0_u32..9)
            .prop_map(|(agent, running)| Step::Requests { agent, running }),
        1 => agent.clone().prop_map(|agent| Step::Shed { agent }),
        1 => agent.clone().prop_map(|agent| Step::Drain { agent }),
        1 => agent.clone().prop_map(|agent| Step::Resume { agent }),
        1 => (agent.clone(), agent, state)
            .prop_map(|(agent, other, state)| Step::List { agent, other, state }),
        1 => any::<bool>().prop_map(|up| Step::Links { up }),
        4 => (1_u64..1_500).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// Carries out one step; gives the way of a flow.
fn carry_out(fleet: &mut Fleet, step: &Step) -> Option<Way> {
    match step {
        Step::Flow { flow, named } => return Some(fleet.follow(*flow, named)),
        Step::Opened { agent, flow } => fleet.feed(*agent, Event::Opened(key(*flow))),
        Step::Closed { agent, flow } => fleet.feed(*agent, Event::Closed(key(*flow))),
        Step::Requests { agent, running } => {
            let requests = Event::Requests {
                running: *running,
                queued: 0,
            };
            fleet.feed(*agent, requests);
        }
        Step::Shed { agent } => fleet.feed(*agent, Event::Shed),
        Step::Drain { agent } => fleet.feed(*agent, Event::Drain),
        Step::Resume { agent } => fleet.feed(*agent, Event::Resume),
        Step::List {
            agent,
            other,
            state,
        } => fleet.list(*agent, |index| {
            if index == *other {
                *state
            } else {
                AgentState::Ready
            }
        }),
        Step::Links { up } => fleet.linked = *up,
        Step::Wait { millis } => {
            let end = fleet.now + Duration::from_millis(*millis);
            fleet.run_until(end);
        }
    }
    None
}

fn new_fleet() -> Fleet {
    let limits = FlowLimits::new().connections(CONNECTIONS).slots(3).queue(3);
    Fleet::new(AGENTS, limits, FlowPolicy::new())
}

fn accepted(fleet: &Fleet) -> Vec<u64> {
    let counts = fleet.agents.iter().map(|agent| agent.counters().accepted);
    counts.collect()
}

/// Checks what holds after every step.
fn check(fleet: &mut Fleet, before: &[u64], step: &Step, way: Option<&Way>) {
    for (agent, machine) in fleet.agents.iter().enumerate() {
        assert!(machine.load(fleet.now).connections <= CONNECTIONS);
        assert_eq!(machine.counters().invariant_violations, 0);
        if machine.is_draining() {
            assert_eq!(machine.counters().accepted, before[agent], "{step:?}");
        }
    }
    let (Step::Flow { flow, named }, Some(way)) = (step, way) else {
        return;
    };
    assert!(way.agents.len() <= usize::from(FlowPolicy::new().max_hops) + 1);
    let grown = accepted(fleet).iter().sum::<u64>() - before.iter().sum::<u64>();
    assert!(grown <= 1, "one datagram opens one flow: {way:?}");
    if way.end == Admission::Accept {
        // The next datagram of the first flight ends at the same agent.
        let next = fleet.follow(*flow, named);
        assert_eq!(next.end, Admission::Accept);
        assert_eq!(next.agents.last(), way.agents.last());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10_000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn limits_and_drains_hold_in_any_order_of_events(steps in vec(step(), 1..80)) {
        let mut fleet = new_fleet();
        for step in &steps {
            let before = accepted(&fleet);
            let way = carry_out(&mut fleet, step);
            check(&mut fleet, &before, step, way.as_ref());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_same_events_give_the_same_decisions(steps in vec(step(), 1..80)) {
        let ways = || {
            let mut fleet = new_fleet();
            let ways: Vec<_> = steps.iter().map(|step| carry_out(&mut fleet, step)).collect();
            (ways, accepted(&fleet))
        };
        prop_assert_eq!(ways(), ways());
    }
}
