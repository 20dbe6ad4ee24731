use std::time::Duration;

use arbutus_core::{
    flow::{Admission, Event, FlowLimits, FlowPolicy},
    roster::AgentState,
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

use super::fleet::{Fleet, FlowPath, key};

const AGENTS: usize = 4;
const CONNECTIONS: u32 = 6;

/// A step of a run. There are few agents and flows, so that steps affect the same ones.
#[derive(Debug, Clone)]
enum Step {
    /// A first packet from a balancer that names arbitrary agents as candidates.
    Flow {
        flow: u64,
        candidates: Vec<usize>,
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
    /// An agent receives a roster in which another agent has the given state.
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
    let candidates = Just((0..AGENTS).collect::<Vec<_>>()).prop_shuffle();
    let state = prop_oneof![
        Just(AgentState::Ready),
        Just(AgentState::Draining),
        Just(AgentState::Suspect),
        Just(AgentState::Gone),
    ];
    prop_oneof![
        8 => (flow.clone(), candidates, 1..=AGENTS).prop_map(|(flow, mut candidates, length)| {
            candidates.truncate(length);
            Step::Flow { flow, candidates }
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

/// Applies a step. Returns the path of the flow if the step sends one.
fn apply(fleet: &mut Fleet, step: &Step) -> Option<FlowPath> {
    match step {
        Step::Flow { flow, candidates } => return Some(fleet.follow(*flow, candidates)),
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
        } => fleet.set_roster(*agent, |index| {
            if index == *other {
                *state
            } else {
                AgentState::Ready
            }
        }),
        Step::Links { up } => fleet.links_up = *up,
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

/// Checks the invariants that hold after every step.
fn check(fleet: &mut Fleet, before: &[u64], step: &Step, path: Option<&FlowPath>) {
    for (agent, machine) in fleet.agents.iter().enumerate() {
        assert!(machine.load(fleet.now).connections <= CONNECTIONS);
        assert_eq!(machine.counters().invariant_violations, 0);
        if machine.is_draining() {
            assert_eq!(machine.counters().accepted, before[agent], "{step:?}");
        }
    }
    let (Step::Flow { flow, candidates }, Some(path)) = (step, path) else {
        return;
    };
    assert!(path.agents.len() <= usize::from(FlowPolicy::new().max_hops) + 1);
    let newly_accepted = accepted(fleet).iter().sum::<u64>() - before.iter().sum::<u64>();
    assert!(
        newly_accepted <= 1,
        "one datagram opened several flows: {path:?}"
    );
    if path.admission == Admission::Accept {
        // The next datagram of the first flight must reach the same agent.
        let next = fleet.follow(*flow, candidates);
        assert_eq!(next.admission, Admission::Accept);
        assert_eq!(next.agents.last(), path.agents.last());
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
    fn limits_and_drains_hold_for_any_order_of_events(steps in vec(step(), 1..80)) {
        let mut fleet = new_fleet();
        for step in &steps {
            let before = accepted(&fleet);
            let path = apply(&mut fleet, step);
            check(&mut fleet, &before, step, path.as_ref());
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
        let run = || {
            let mut fleet = new_fleet();
            let paths: Vec<_> = steps.iter().map(|step| apply(&mut fleet, step)).collect();
            (paths, accepted(&fleet))
        };
        prop_assert_eq!(run(), run());
    }
}
