//! Scripted scenarios; each command is described where it is run.

use std::{
    collections::BTreeMap,
    error::Error,
    fmt::{Debug, Write},
    time::Duration,
};

use arbutus_core::config::{BackendOverride, DesiredState};
use goldenscript::{Command, Context, Runner};
use rstest::rstest;

use crate::world::{Life, World};

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
            // Starts a balancer: its name and failure domain.
            "balancer" => world.start_balancer(next()?, next()?),
            // Starts an agent: its name, failure domain, service, and whose address it takes.
            "agent" => world.start_agent(next()?, next()?, next()?, next().ok()),
            "kill" => world.set_life(next()?, Life::Dead),
            "kill-homes" => kill_homes(world, next()?),
            "pause" => world.set_life(next()?, Life::Paused),
            "wake" => world.set_life(next()?, Life::Runs),
            "drain" => world.drain(next()?),
            "leave" => world.leave(next()?),
            // Cuts two failure domains from each other.
            "cut" => world.network.cut(next()?, next()?),
            "clock-lag" => world.clock_lag_ms = next()?.parse()?,
            "loss" => world.network.loss_percent = next()?.parse()?,
            "jitter" => world.network.jitter_ms = next()?.parse()?,
            "heal" => world.network.heal(),
            // Puts a configuration of these services into the store.
            "apply" => {
                let services: Vec<&str> = std::iter::from_fn(|| next().ok()).collect();
                world.apply(&services);
            }
            // The same with one agent of one service drained by the operator.
            "apply-drain" => apply_drain(world, next()?, next()?),
            "store" => world.store.is_down = next()? == "down",
            "run" => world.run(Duration::from_millis(next()?.parse()?)),
            // What each balancer would send new flows to.
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
        if self.world.broken.is_empty() {
            Ok(())
        } else {
            Err(format!("broken promises: {:?}", self.world.broken).into())
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
        world.set_life(&name, Life::Dead);
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

/// What each agent holds of itself and its service.
fn agents(world: &World) -> Result<String, Box<dyn Error>> {
    let mut text = String::new();
    for (name, agent) in world.agents() {
        let record = agent.record();
        let is_first = agent.serving().is_some_and(|it| it == record.incarnation);
        let service = agent.service().map_or("none", |it| &*it.name);
        writeln!(
            text,
            "{name}: {:?} version {} serving {is_first} service {service} peers {}",
            record.state,
            record.version,
            agent.peers().len(),
        )?;
    }
    Ok(text)
}

/// The failure domains of each agent's homes.
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

/// One line for each value, with the nodes that have it.
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
#[case::a_dead_agent_is_no_candidate_after_three_seconds("agent_dies")]
#[case::a_paused_agent_rejoins_under_a_rising_version("agent_pauses")]
#[case::an_address_goes_to_an_agent_of_another_service("address_reuse")]
#[case::an_agent_drains_by_either_word("drains")]
#[case::parted_domains_come_together_again("partition")]
#[case::a_silent_domain_is_one_notice("silent_domain")]
#[case::a_configuration_spreads_though_its_reader_dies("config")]
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
