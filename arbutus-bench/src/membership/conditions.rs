//! Conditions that measurements wait for, and functions that run the fleet until one holds.

use std::time::Duration;

use arbutus_core::{
    config::ConfigVersion, ident::ServiceTag, membership::BalancerNode, time::Timestamp,
};

use super::{fleet::Fleet, fleet_plan, meter::Meter};

/// Simulated time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest simulated time to wait for a condition.
const MAX_WAIT: Duration = Duration::from_secs(120);

/// Returns whether all balancers hold the same records, and at least as many agents as are running.
pub(super) fn is_converged(fleet: &Fleet) -> bool {
    let mut roots = fleet.balancers().map(|(_, it)| it.roster().root_digest());
    let first = roots.next();
    let are_equal = roots.all(|root| Some(root) == first);
    let agents = fleet.agents().count();
    let holds_all = |(_, it): (usize, &BalancerNode)| it.roster().agent_count() >= agents;
    are_equal && fleet.balancers().all(holds_all)
}

/// Returns whether the newest configuration is in force at all balancers.
pub(super) fn balancers_have_config(fleet: &Fleet) -> bool {
    let version: ConfigVersion = fleet.store.snapshot.version;
    fleet
        .balancers()
        .all(|(_, it)| it.config().version == version)
}

/// Returns whether all agents have the newest configuration version.
pub(super) fn agents_have_config(fleet: &Fleet) -> bool {
    let version = fleet.store.snapshot.version;
    fleet.agents().all(|(_, it)| it.config_version() == version)
}

/// Returns whether no balancer lists the agent `victim` as a candidate of its service.
pub(super) fn is_no_candidate_anywhere(fleet: &Fleet, victim: usize) -> bool {
    let tag = service_tag_of(fleet, victim);
    let control = fleet_plan::control(victim);
    fleet.balancers().all(|(_, it)| {
        it.roster()
            .candidates(tag)
            .all(|agent| agent.control != control)
    })
}

/// Returns whether each balancer has as many candidates as there are agents.
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

fn service_tag_of(fleet: &Fleet, agent: usize) -> ServiceTag {
    ServiceTag::of_name(&fleet_plan::service_name(fleet.members[agent].service))
}

/// Runs the fleet until `done` holds or [`MAX_WAIT`] has passed, and returns the time that passed.
pub(super) fn run_until(fleet: &mut Fleet, done: impl Fn(&Fleet) -> bool) -> Duration {
    let start: Timestamp = fleet.now;
    while !done(fleet) && fleet.now.since(start) < MAX_WAIT {
        fleet.run_for(POLL_INTERVAL);
    }
    fleet.now.since(start)
}

/// Runs the fleet in metered seconds until `done` holds or [`MAX_WAIT`] has passed, and returns the
/// number of seconds.
pub(super) fn run_seconds_until(
    fleet: &mut Fleet,
    meter: &mut Meter,
    done: impl Fn(&Fleet) -> bool,
) -> u64 {
    let mut seconds = 0;
    while !done(fleet) && seconds < MAX_WAIT.as_secs() {
        meter.run_second(fleet);
        seconds += 1;
    }
    seconds
}
