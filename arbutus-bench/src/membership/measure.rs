//! Phases of the measurement, in the order in which they run.

use std::time::{Duration, Instant};

use rand::Rng;

use super::{
    conditions::{
        agents_have_config, all_are_candidates, balancers_have_config, is_converged,
        is_no_candidate_anywhere, run_seconds_until, run_until,
    },
    fleet::{Fleet, Machine},
    fleet_plan::DOMAINS,
    full_size,
    meter::Meter,
    options::{Options, Part},
    report::Findings,
};

/// Simulated seconds for which the steady state is metered.
const STEADY_STATE_S: u64 = 20;

/// Runs the requested parts of the measurement and returns their findings.
pub(super) fn run(options: &Options) -> Findings {
    let mut findings = Findings::default();
    if options.part != Part::Fleet {
        full_size::run(&mut findings);
    }
    if options.part != Part::FullSize {
        run_fleet(options, &mut findings);
    }
    findings
}

fn run_fleet(options: &Options, findings: &mut Findings) {
    findings.add("balancers", options.balancers);
    findings.add("agents", options.agents);
    findings.add("services", options.services);
    findings.add("seed", options.seed);
    findings.add("loss_per_mille", options.loss_per_mille);
    let begin = Instant::now();
    let mut fleet = Fleet::new(options);
    start(&mut fleet, findings);
    steady(&mut fleet, findings);
    agent_deaths(&mut fleet, findings);
    config_changes(&mut fleet, findings);
    churn(&mut fleet, findings);
    join(&mut fleet, findings);
    rack_failure(&mut fleet, findings);
    domain_failure(&mut fleet, findings);
    partitioned_region(&mut fleet, options.partition_s, findings);
    let violations: u64 = fleet
        .balancers()
        .map(|(_, it)| it.invariant_violations())
        .sum();
    findings.add("invariant_violations", violations);
    findings.add("wall_s", begin.elapsed().as_secs());
}

/// Measures a start of all members at the same time, with empty rosters.
fn start(fleet: &mut Fleet, findings: &mut Findings) {
    let mut meter = Meter::new(fleet);
    let seconds = run_seconds_until(fleet, &mut meter, |fleet| {
        is_converged(fleet) && balancers_have_config(fleet)
    });
    findings.add("start.converged_s", seconds);
    findings.add("start.peak_bytes_per_s", meter.peak_bytes);
    findings.add("start.over_budget_s", meter.over_budget_s);
    findings.add("start.store_calls", fleet.store.calls);
    // Wait until homes and links are stable.
    fleet.run_for(Duration::from_secs(20));
}

/// Measures traffic, processor time, store calls and links without any failure or change.
fn steady(fleet: &mut Fleet, findings: &mut Findings) {
    let (calls, time) = (fleet.store.calls, fleet.balancer_time);
    let mut meter = Meter::new(fleet);
    for _ in 0..STEADY_STATE_S {
        meter.run_second(fleet);
    }
    add_traffic(fleet, &meter, "steady", findings);
    let count = fleet.balancers().count();
    let share = u32::try_from(count).unwrap_or(1) * u32::try_from(STEADY_STATE_S).unwrap_or(1);
    let busy = fleet.balancer_time.saturating_sub(time) / share;
    findings.add(
        "steady.cpu_percent",
        format!("{:.3}", busy.as_secs_f64() * 100.0),
    );
    findings.add("steady.store_watches", fleet.store.watches());
    findings.add("steady.store_calls", fleet.store.calls - calls);
    let links: usize = fleet.balancers().map(|(_, it)| it.links().count()).sum();
    let watched: usize = fleet.balancers().map(|(_, it)| it.watched_agents()).sum();
    findings.add("steady.links_of_a_balancer", links / count);
    findings.add("steady.watched_agents_of_a_balancer", watched / count);
}

fn add_traffic(fleet: &Fleet, meter: &Meter, name: &str, findings: &mut Findings) {
    let mean = meter.mean();
    findings.add(&format!("{name}.bytes_per_s"), mean.bytes);
    findings.add(&format!("{name}.messages_per_s"), mean.messages);
    findings.add(&format!("{name}.peak_bytes_per_s"), meter.peak_bytes);
    findings.add(&format!("{name}.over_budget_s"), meter.over_budget_s);
    for (class, bytes) in meter.by_class(fleet) {
        findings.add(&format!("{name}.payload_bytes_per_s.{class}"), bytes);
    }
}

/// Measures how long a killed agent remains a candidate at some balancer. Reports the longest of
/// five times.
fn agent_deaths(fleet: &mut Fleet, findings: &mut Findings) {
    let mut longest = Duration::ZERO;
    for _ in 0..5 {
        let victim = random_agent(fleet);
        fleet.kill(victim);
        let waited = run_until(fleet, |fleet| is_no_candidate_anywhere(fleet, victim));
        longest = longest.max(waited);
    }
    findings.add("agent_death.nowhere_candidate_ms", longest.as_millis());
}

/// Measures how long a new configuration takes to reach all members.
///
/// The configuration is read by all readers, by a single reader, and by readers of which all but
/// one are killed before they have propagated it.
fn config_changes(fleet: &mut Fleet, findings: &mut Findings) {
    let mut longest = Duration::ZERO;
    for _ in 0..5 {
        fleet.apply();
        longest = longest.max(run_until(fleet, balancers_have_config));
        fleet.run_for(Duration::from_millis(700));
    }
    findings.add("config.in_force_ms", longest.as_millis());
    fleet.run_for(Duration::from_secs(2));
    fleet.apply();
    fleet.store.answers_first_watch_only = true;
    fleet.run_for(Duration::from_millis(5));
    let waited = run_until(fleet, balancers_have_config);
    findings.add("config.in_force_by_one_reader_ms", waited.as_millis());
    let waited = waited + run_until(fleet, agents_have_config);
    findings.add("config.known_to_agents_ms", waited.as_millis());
    fleet.store.answers_first_watch_only = false;
    // Kill all but one of the readers that already have the change.
    fleet.apply();
    fleet.run_for(Duration::from_millis(6));
    let version = fleet.store.snapshot.version;
    let readers_with_config: Vec<usize> = fleet
        .balancers()
        .filter(|(_, it)| it.config().version == version && it.is_reader())
        .map(|(number, _)| number)
        .collect();
    for number in readers_with_config.iter().skip(1) {
        fleet.kill(*number);
    }
    findings.add(
        "config.readers_killed",
        readers_with_config.len().saturating_sub(1),
    );
    let waited = run_until(fleet, balancers_have_config);
    findings.add("config.in_force_after_readers_died_ms", waited.as_millis());
    fleet.run_for(Duration::from_secs(10));
}

/// Replaces members and applies configurations at rates far above those of normal operation.
fn churn(fleet: &mut Fleet, findings: &mut Findings) {
    const REPLACEMENTS: u64 = 40;
    const CONFIG_CHANGES: u64 = 20;
    let mut idle = Meter::new(fleet);
    for _ in 0..10 {
        idle.run_second(fleet);
    }
    let mut meter = Meter::new(fleet);
    let time = fleet.balancer_time;
    for index in 0..REPLACEMENTS {
        let is_balancer = index % 6 == 0;
        replace_member(fleet, is_balancer);
        if index % (REPLACEMENTS / CONFIG_CHANGES) == 0 {
            fleet.apply();
        }
        meter.run_second(fleet);
    }
    let extra = meter.mean().bytes.saturating_sub(idle.mean().bytes) * REPLACEMENTS;
    add_traffic(fleet, &meter, "churn", findings);
    findings.add("churn.replaced_per_s", 1);
    findings.add("churn.applied_per_s", "0.5");
    findings.add(
        "churn.bytes_of_a_balancer_per_replacement",
        extra / REPLACEMENTS,
    );
    let count = u32::try_from(fleet.balancers().count()).unwrap_or(1);
    let busy = fleet.balancer_time.saturating_sub(time)
        / (count * u32::try_from(REPLACEMENTS).unwrap_or(1));
    findings.add(
        "churn.cpu_percent",
        format!("{:.3}", busy.as_secs_f64() * 100.0),
    );
    let waited = run_until(fleet, is_converged);
    findings.add("churn.converged_after_ms", waited.as_millis());
}

/// Measures how a new balancer joins a running fleet.
fn join(fleet: &mut Fleet, findings: &mut Findings) {
    let peers = fleet.running_controls();
    let number = fleet.add_balancer(0, &peers);
    let mut meter = Meter::new(fleet);
    let seconds = run_seconds_until(fleet, &mut meter, |fleet| {
        is_converged(fleet) && balancers_have_config(fleet)
    });
    findings.add("join.converged_s", seconds);
    findings.add("join.peak_bytes_per_s", meter.peak_bytes);
    findings.add("join.over_budget_s", meter.over_budget_s);
    if let Machine::Balancer(balancer) = &fleet.members[number].machine {
        findings.add("join.bytes", balancer.traffic().total().bytes);
    }
}

/// Kills one in a hundred members of a failure domain at the same time.
fn rack_failure(fleet: &mut Fleet, findings: &mut Findings) {
    let victims: Vec<usize> = running_members(fleet)
        .filter(|number| fleet.members[*number].domain == 0)
        .step_by(100)
        .collect();
    findings.add("rack.members", victims.len());
    kill_all(fleet, &victims, "rack", findings);
}

/// Kills all members of a failure domain at the same time.
fn domain_failure(fleet: &mut Fleet, findings: &mut Findings) {
    let victims: Vec<usize> = running_members(fleet)
        .filter(|number| fleet.members[*number].domain == DOMAINS - 1)
        .collect();
    findings.add("domain.members", victims.len());
    kill_all(fleet, &victims, "domain", findings);
}

/// Kills the victims and measures the time until the killed agents are no longer candidates and
/// until the rosters converge.
fn kill_all(fleet: &mut Fleet, victims: &[usize], name: &str, findings: &mut Findings) {
    let agents: Vec<usize> = victims
        .iter()
        .copied()
        .filter(|it| matches!(fleet.members[*it].machine, Machine::Agent(_)))
        .collect();
    for number in victims {
        fleet.kill(*number);
    }
    let mut meter = Meter::new(fleet);
    let seconds = run_seconds_until(fleet, &mut meter, |fleet| {
        agents.iter().all(|it| is_no_candidate_anywhere(fleet, *it))
    });
    findings.add(&format!("{name}.nowhere_candidates_s"), seconds);
    let converged = seconds + run_seconds_until(fleet, &mut meter, is_converged);
    findings.add(&format!("{name}.converged_s"), converged);
    for _ in converged..15 {
        meter.run_second(fleet);
    }
    findings.add(&format!("{name}.peak_bytes_per_s"), meter.peak_bytes);
    findings.add(&format!("{name}.over_budget_s"), meter.over_budget_s);
}

/// Partitions a region from the others, replaces members on both sides, and measures the time to
/// converge after the partition heals.
fn partitioned_region(fleet: &mut Fleet, partition_s: u64, findings: &mut Findings) {
    const REGION: usize = 1;
    fleet.network.partitioned_region = Some(REGION);
    let mut meter = Meter::new(fleet);
    for second in 0..partition_s {
        if second % 10 == 0 {
            replace_member(fleet, second % 60 == 0);
        }
        meter.run_second(fleet);
    }
    add_traffic(fleet, &meter, "parted", findings);
    fleet.network.partitioned_region = None;
    let mut meter = Meter::new(fleet);
    let candidates_s = run_seconds_until(fleet, &mut meter, all_are_candidates);
    findings.add("rejoined.all_candidates_s", candidates_s);
    let converged = candidates_s + run_seconds_until(fleet, &mut meter, is_converged);
    findings.add("rejoined.converged_s", converged);
    for _ in converged..20 {
        meter.run_second(fleet);
    }
    add_traffic(fleet, &meter, "rejoined", findings);
}

/// Kills a random member and starts a new one in the same failure domain.
fn replace_member(fleet: &mut Fleet, is_balancer: bool) {
    let candidates: Vec<usize> = if is_balancer {
        fleet.balancers().map(|(number, _)| number).collect()
    } else {
        fleet.agents().map(|(number, _)| number).collect()
    };
    let victim = candidates[fleet.rng.random_range(0..candidates.len())];
    let (domain, service) = (fleet.members[victim].domain, fleet.members[victim].service);
    fleet.kill(victim);
    let peers = fleet.running_controls();
    if is_balancer {
        fleet.add_balancer(domain, &peers);
    } else {
        fleet.add_agent(domain, service, &peers);
    }
}

fn random_agent(fleet: &mut Fleet) -> usize {
    let agents: Vec<usize> = fleet.agents().map(|(number, _)| number).collect();
    agents[fleet.rng.random_range(0..agents.len())]
}

/// Returns the numbers of all members that have not been killed.
fn running_members(fleet: &Fleet) -> impl Iterator<Item = usize> {
    let members = fleet.members.iter().enumerate();
    members
        .filter(|(_, member)| !matches!(member.machine, Machine::Dead))
        .map(|(number, _)| number)
}
