//! What is waited for, and the waiting.

use std::time::Duration;

use arbutus_core::{
    config::ConfigVersion, ident::ServiceTag, membership::BalancerNode, time::Timestamp,
};

use super::{fleet::Fleet, fleet_plan, meter::Meter};

/// Step in which waiting for something looks again.
const STEP: Duration = Duration::from_millis(20);
/// Longest wait for anything.
const LIMIT: Duration = Duration::from_secs(120);

/// Whether all balancers hold the same records.
pub(super) fn is_converged(fleet: &Fleet) -> bool {
    let mut roots = fleet.balancers().map(|(_, it)| it.roster().root_digest());
    let first = roots.next();
    let is_same = roots.all(|root| Some(root) == first);
    let agents = fleet.agents().count();
    let holds_all = |(_, it): (usize, &BalancerNode)| it.roster().agent_count() >= agents;
    is_same && fleet.balancers().all(holds_all)
}

pub(super) fn has_config(fleet: &Fleet) -> bool {
    let version: ConfigVersion = fleet.store.snapshot.version;
    fleet
        .balancers()
        .all(|(_, it)| it.config().version == version)
}

pub(super) fn agents_have_config(fleet: &Fleet) -> bool {
    let version = fleet.store.snapshot.version;
    fleet.agents().all(|(_, it)| it.config_version() == version)
}

pub(super) fn is_nowhere_candidate(fleet: &Fleet, victim: usize) -> bool {
    let tag = tag_of(fleet, victim);
    let control = fleet_plan::control(victim);
    fleet.balancers().all(|(_, it)| {
        it.roster()
            .candidates(tag)
            .all(|agent| agent.control != control)
    })
}

/// Whether each balancer has as many candidates as there are agents.
pub(super) fn all_are_candidates(fleet: &Fleet) -> bool {
    let agents = fleet.agents().count();
    fleet.balancers().all(|(_, balancer)| {
        let tags = (0..fleet.services).map(|it| ServiceTag::of_name(&fleet_plan::service_name(it)));
        let candidates: usize = tags
            .map(|tag| balancer.roster().candidates(tag).count())
            .sum();
        candidates == agents
    })
}

fn tag_of(fleet: &Fleet, agent: usize) -> ServiceTag {
    ServiceTag::of_name(&fleet_plan::service_name(fleet.members[agent].service))
}

/// Runs until `done`; tells how long it took.
pub(super) fn wait(fleet: &mut Fleet, done: impl Fn(&Fleet) -> bool) -> Duration {
    let begin: Timestamp = fleet.now;
    while !done(fleet) && fleet.now.since(begin) < LIMIT {
        fleet.run(STEP);
    }
    fleet.now.since(begin)
}

/// Runs until `done`, second by second with the meter; tells the seconds.
pub(super) fn wait_seconds(
    fleet: &mut Fleet,
    meter: &mut Meter,
    done: impl Fn(&Fleet) -> bool,
) -> u64 {
    let mut seconds = 0;
    while !done(fleet) && seconds < LIMIT.as_secs() {
        meter.run_second(fleet);
        seconds += 1;
    }
    seconds
}
