//! Runs with random failures, after which all nodes must converge.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use arbutus_core::{membership::BalancerNode, roster::Rank};
use proptest::prelude::*;

use crate::world::{RunState, World};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const SERVICES: [&str; 2] = ["lookup", "tables"];

/// A step of a run; indices select nodes, failure domains and services.
#[derive(Debug, Clone)]
enum Step {
    Kill(usize),
    Pause(usize),
    Wake(usize),
    ReuseAddress(usize, usize),
    StartBalancer(usize),
    StartAgent(usize, usize),
    Drain(usize),
    Loss(u32),
    Jitter(u64),
    Duplicates(u32),
    Cut(usize, usize),
    Heal,
    Store(bool),
    Apply(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let which = any::<usize>();
    prop_oneof![
        4 => which.prop_map(Step::Kill),
        4 => which.prop_map(Step::Pause),
        4 => which.prop_map(Step::Wake),
        2 => (which, which).prop_map(|(a, b)| Step::ReuseAddress(a, b)),
        2 => which.prop_map(Step::StartBalancer),
        2 => (which, which).prop_map(|(a, b)| Step::StartAgent(a, b)),
        1 => which.prop_map(Step::Drain),
        2 => (0_u32..30).prop_map(Step::Loss),
        2 => (0_u64..300).prop_map(Step::Jitter),
        1 => (0_u32..30).prop_map(Step::Duplicates),
        2 => (which, which).prop_map(|(a, b)| Step::Cut(a, b)),
        3 => Just(Step::Heal),
        2 => any::<bool>().prop_map(Step::Store),
        3 => any::<bool>().prop_map(Step::Apply),
    ]
}

fn start(seed: u64) -> World {
    let mut world = World::new(seed);
    // Otherwise a node could be configured only with balancers that are dead, and no node could
    // find it.
    world.configured_balancers = usize::MAX;
    world.apply(&SERVICES);
    for index in 0..6 {
        world.start_balancer(&format!("b{index}"), DOMAINS[index % 3]);
        world.run(Duration::from_millis(50));
    }
    for index in 0..8 {
        let service = SERVICES[index % 2];
        world.start_agent(&format!("s{index}"), DOMAINS[index % 3], service, None);
    }
    world.run(Duration::from_secs(5));
    world
}

fn pick(world: &World, which: usize, prefix: char) -> Option<String> {
    let names: Vec<&String> = world
        .nodes
        .keys()
        .filter(|name| name.starts_with(prefix))
        .collect();
    let index = which.checked_rem(names.len())?;
    Some(names[index].clone())
}

fn any_node(world: &World, which: usize) -> String {
    let index = which % world.nodes.len();
    world.nodes.keys().nth(index).cloned().unwrap_or_default()
}

fn apply_step(world: &mut World, step: &Step) {
    let count = world.nodes.len();
    let new_name = |prefix: char| format!("{prefix}{}", 100 + count);
    match *step {
        Step::Kill(which) => {
            let name = any_node(world, which);
            let is_last = world.balancers().count() <= 2 && name.starts_with('b');
            if !is_last {
                world.set_run_state(&name, RunState::Dead);
            }
        }
        Step::Pause(which) => world.set_run_state(&any_node(world, which), RunState::Paused),
        Step::Wake(which) => world.set_run_state(&any_node(world, which), RunState::Running),
        Step::ReuseAddress(which, service) => {
            let Some(old) = pick(world, which, 's') else {
                return;
            };
            if world.nodes[&old].run_state == RunState::Dead && world.owns_address(&old) {
                let domain = world.nodes[&old].domain.clone();
                let service = SERVICES[service % 2];
                world.start_agent(&new_name('s'), &domain, service, Some(&old));
            }
        }
        Step::StartBalancer(domain) if count < 30 => {
            world.start_balancer(&new_name('b'), DOMAINS[domain % 3]);
        }
        Step::StartAgent(domain, service) if count < 30 => {
            let service = SERVICES[service % 2];
            world.start_agent(&new_name('s'), DOMAINS[domain % 3], service, None);
        }
        Step::StartBalancer(_) | Step::StartAgent(..) => {}
        Step::Drain(which) => {
            if let Some(name) = pick(world, which, 's') {
                world.drain(&name);
            }
        }
        Step::Loss(percent) => world.network.loss_percent = percent,
        Step::Jitter(millis) => world.network.jitter_ms = millis,
        Step::Duplicates(percent) => world.network.duplicate_percent = percent,
        Step::Cut(a, b) => {
            if a % 3 != b % 3 {
                world.network.cut(DOMAINS[a % 3], DOMAINS[b % 3]);
            }
        }
        Step::Heal => world.network.heal(),
        Step::Store(is_down) => world.store.is_down = is_down,
        Step::Apply(all) => {
            let services = if all { &SERVICES[..] } else { &SERVICES[..1] };
            world.apply(services);
        }
    }
}

/// Ends all disturbances and runs until the nodes must have converged.
fn stabilize(world: &mut World) {
    world.network.heal();
    world.store.is_down = false;
    let paused: Vec<String> = world
        .nodes
        .iter()
        .filter(|(_, node)| node.run_state == RunState::Paused)
        .map(|(name, _)| name.clone())
        .collect();
    for name in paused {
        world.set_run_state(&name, RunState::Running);
    }
    world.run(Duration::from_secs(45));
}

fn ranks(balancer: &BalancerNode) -> BTreeMap<String, Rank> {
    let roster = balancer.roster();
    let agents = roster
        .agents()
        .map(|it| (format!("agent {}", it.tunnel), it.rank()));
    let balancers = roster
        .balancers()
        .map(|it| (format!("balancer {}", it.control), it.rank()));
    agents.chain(balancers).collect()
}

fn check_agreement(world: &World) -> Result<(), TestCaseError> {
    let (_, first) = world.balancers().next().expect("a balancer is running");
    let expected = ranks(first);
    for (name, balancer) in world.balancers() {
        prop_assert_eq!(&ranks(balancer), &expected, "roster of {}", name);
        prop_assert_eq!(
            balancer.config().version,
            world.store.snapshot.version,
            "configuration of {}",
            name
        );
        prop_assert_eq!(balancer.config(), &world.store.snapshot);
    }
    for service in SERVICES {
        let running: BTreeSet<String> = world
            .agents()
            .filter(|(_, agent)| agent.record().tag.to_string() == tag(service))
            .filter(|(_, agent)| agent.record().state.takes_new_flows())
            .map(|(name, _)| name.to_owned())
            .collect();
        for (name, balancer) in world.balancers() {
            let candidates = World::candidates(balancer, service);
            prop_assert_eq!(&candidates, &running, "candidates at {}", name);
        }
    }
    Ok(())
}

fn tag(service: &str) -> String {
    arbutus_core::ident::ServiceTag::of_name(service).to_string()
}

fn cases() -> u32 {
    let wanted = std::env::var("PROPTEST_CASES").ok();
    wanted.and_then(|it| it.parse().ok()).unwrap_or(12)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), ..ProptestConfig::default() })]

    #[test]
    fn all_balancers_agree_after_random_failures(
        seed in any::<u64>(),
        steps in proptest::collection::vec((step(), 0_u64..3_000), 1..30),
    ) {
        let mut world = start(seed);
        for (step, pause_ms) in &steps {
            apply_step(&mut world, step);
            world.run(Duration::from_millis(*pause_ms));
        }
        stabilize(&mut world);
        prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
        check_agreement(&world)?;
    }
}
