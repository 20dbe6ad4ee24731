//! Scripted scenarios. The commands are described where they are handled.

use std::{
    collections::BTreeMap,
    error::Error,
    fmt::{Debug, Write},
    time::Duration,
};

use arbutus_core::config::{BackendOverride, DesiredState};
use goldenscript::{Command, Context, Runner};
use rstest::rstest;

use crate::world::{RunState, World};

struct Script {
    world: World,
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let mut next = || args.next_pos().ok_or("an argument is missing");
        let world = &mut self.world;
        match command.name.as_str() {
            // Starts a balancer. Arguments: name, failure domain.
            "balancer" => world.start_balancer(next()?, next()?),
            // Starts an agent. Arguments: name, failure domain, service and, optionally, the node
            // whose addresses the agent reuses.
            "agent" => world.start_agent(next()?, next()?, next()?, next().ok()),
            "kill" => world.set_run_state(next()?, RunState::Dead),
            "kill-homes" => kill_homes(world, next()?),
            "pause" => world.set_run_state(next()?, RunState::Paused),
            "wake" => world.set_run_state(next()?, RunState::Running),
            "drain" => world.drain(next()?),
            "leave" => world.leave(next()?),
            // Partitions two failure domains from each other.
            "cut" => world.network.cut(next()?, next()?),
            "clock-lag" => world.clock_lag_ms = next()?.parse()?,
            "loss" => world.network.loss_percent = next()?.parse()?,
            "jitter" => world.network.jitter_ms = next()?.parse()?,
            "heal" => world.network.heal(),
            // Applies a configuration with these services to the store.
            "apply" => {
                let services: Vec<&str> = std::iter::from_fn(|| next().ok()).collect();
                world.apply(&services);
            }
            // Applies the current services again with an agent drained by the operator. Arguments:
            // service, agent.
            "apply-drain" => apply_drain(world, next()?, next()?),
            "store" => world.store.is_down = next()? == "down",
            "run" => world.run(Duration::from_millis(next()?.parse()?)),
            // Prints the candidates of a service at each balancer.
            "candidates" => return candidates(world, next()?),
            "versions" => return versions(world),
            "agents" => return agents(world),
            "homes" => return homes(world),
            "silent" => return silent(world, next()?),
            other => return Err(format!("unknown command {other}").into()),
        }
        args.reject_next()?;
        Ok(String::new())
    }

    fn end_script(&mut self) -> Result<(), Box<dyn Error>> {
        if self.world.violations.is_empty() {
            Ok(())
        } else {
            Err(format!("invariants violated: {:?}", self.world.violations).into())
        }
    }
}

fn apply_drain(world: &mut World, service: &str, agent: &str) {
    let mut services: Vec<_> = world.store.snapshot.services.values().cloned().collect();
    for it in &mut services {
        if &*it.name == service {
            let entry = BackendOverride {
                state: DesiredState::Drain,
                weight_percent: None,
            };
            std::sync::Arc::make_mut(it)
                .backend_servers
                .insert(agent.into(), entry);
        }
    }
    let services = services.into_iter().map(std::sync::Arc::unwrap_or_clone);
    world.apply_services(services.collect());
}

fn kill_homes(world: &mut World, agent: &str) {
    let homes: Vec<_> = world
        .agents()
        .filter(|(name, _)| *name == agent)
        .flat_map(|(_, it)| it.homes())
        .collect();
    let names: Vec<String> = world
        .balancers()
        .filter(|(_, it)| homes.contains(&it.record().control))
        .map(|(name, _)| name.to_owned())
        .collect();
    for name in names {
        world.set_run_state(&name, RunState::Dead);
    }
}

fn candidates(world: &World, service: &str) -> Result<String, Box<dyn Error>> {
    grouped(world.balancers().map(|(name, balancer)| {
        let candidates = World::candidates(balancer, service);
        (name, candidates)
    }))
}

fn versions(world: &World) -> Result<String, Box<dyn Error>> {
    grouped(
        world
            .balancers()
            .map(|(name, balancer)| (name, balancer.config().version.get())),
    )
}

/// Formats the state of each agent and what it received from its homes.
fn agents(world: &World) -> Result<String, Box<dyn Error>> {
    let mut text = String::new();
    for (name, agent) in world.agents() {
        let record = agent.record();
        let is_serving = agent.serving().is_some_and(|it| it == record.incarnation);
        let service = agent.service().map_or("none", |it| &*it.name);
        writeln!(
            text,
            "{name}: {:?} version {} serving {is_serving} service {service} peers {}",
            record.state,
            record.version,
            agent.peers().len(),
        )?;
    }
    Ok(text)
}

/// Formats the homes of each agent with their failure domains.
fn homes(world: &World) -> Result<String, Box<dyn Error>> {
    let mut text = String::new();
    for (name, agent) in world.agents() {
        let mut homes: Vec<String> = agent
            .homes()
            .filter_map(|home| {
                let (name, _) = world
                    .balancers()
                    .find(|(_, it)| it.record().control == home)?;
                Some(format!("{name}@{}", world.nodes[name].domain))
            })
            .collect();
        homes.sort();
        writeln!(text, "{name}: {}", homes.join(" "))?;
    }
    Ok(text)
}

fn silent(world: &World, domain: &str) -> Result<String, Box<dyn Error>> {
    grouped(
        world
            .balancers()
            .map(|(name, balancer)| (name, balancer.roster().is_silent(domain))),
    )
}

/// Formats one line per distinct value, with the nodes that have it.
fn grouped<'a, T: Debug>(
    values: impl Iterator<Item = (&'a str, T)>,
) -> Result<String, Box<dyn Error>> {
    let mut groups: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for (name, value) in values {
        groups.entry(format!("{value:?}")).or_default().push(name);
    }
    let mut text = String::new();
    for (value, names) in groups {
        writeln!(text, "{}: {value}", names.join(" "))?;
    }
    Ok(text)
}

#[rstest]
#[case::an_agent_is_announced_everywhere("announce")]
#[case::a_dead_agent_is_not_a_candidate_after_three_seconds("agent_dies")]
#[case::a_paused_agent_rejoins_with_a_higher_version("agent_pauses")]
#[case::an_address_is_reused_by_an_agent_of_another_service("address_reuse")]
#[case::an_agent_drains_on_its_own_or_the_operators_request("drains")]
#[case::partitioned_domains_converge_after_healing("partition")]
#[case::a_silent_domain_is_reported_by_a_notice("silent_domain")]
#[case::a_configuration_propagates_although_a_store_reader_dies("config")]
#[case::an_agent_dies_with_all_its_homes("homes_die")]
#[case::balancers_without_links_find_each_other("strangers")]
#[case::a_new_balancer_joins_while_the_store_is_down("join")]
fn scenario(#[case] name: &str) {
    let mut script = Script {
        world: World::new(7),
    };
    let path = format!(
        "{}/tests/membership/scripts/{name}",
        env!("CARGO_MANIFEST_DIR")
    );
    goldenscript::run(&mut script, path).expect("the script runs");
}
