//! While a balancer has read only a part of the changes in the store, a backend server and further
//! balancers are added, and flows move.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    caller::Outcome,
    config_storm::{
        ADDED_ROUTES, CONFIG_APPLY, IDLE_ROUTES, LARGE_CHANGES, STORM_CHANGES, STORM_PAUSE,
        WATCH_LIMIT, kept, routes,
    },
    deployment::{Deployment, config_text, wait_for},
    record::Record,
};

const DEADLINE: Duration = Duration::from_millis(2_000);
/// How long flows are opened before they move.
const OPENING_TIME: Duration = Duration::from_millis(900);
const ALL_BALANCERS: u8 = 3;
const NEW: &str = "i-new";

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let config = config_text(1, &routes(IDLE_ROUTES, true));
    let limit = Some(WATCH_LIMIT);
    let started = [1, ALL_BALANCERS];
    let mut it = Deployment::start_with_seeds(record.clone(), &config, started, 2, limit)?;
    for agent in 0..2 {
        it.start_backend(it.backend_config(agent, &format!("i-{agent}")))?;
    }
    it.wait_serving(2)?;
    let mut count = IDLE_ROUTES;
    for change in 1..=LARGE_CHANGES {
        count += ADDED_ROUTES;
        it.store.write(
            "op/config",
            &config_text(u64::from(1 + change), &routes(count, true)),
        );
        thread::sleep(CONFIG_APPLY);
    }
    record.say("the operator has added routes in two large changes");
    let changes = if trouble { STORM_CHANGES } else { 1 };
    let started_at = Instant::now();
    for change in 1..=changes {
        count += 1;
        let version = u64::from(1 + LARGE_CHANGES + 3 * change);
        it.store
            .write("op/config", &config_text(version, &routes(count, true)));
        thread::sleep((STORM_PAUSE * change).saturating_sub(started_at.elapsed()));
    }
    record.say(&format!("{changes} changes have been acknowledged"));

    it.start_agent(2)?;
    it.wait_control(2)?;
    let backend = it.start_backend(it.backend_config(2, NEW))?;
    it.start_balancer(1)?;
    it.start_balancer(2)?;
    wait_for("the new agent is listed", || {
        it.store.keys("arbutus/agents/").len() == 3
    })?;
    it.wait_balancer(1)?;
    record.say("a backend server and two balancers have been added");

    let (mut flows, opening_since) = (Vec::new(), Instant::now());
    while opening_since.elapsed() < OPENING_TIME {
        let Ok(mut flow) = it.caller.open(kept(), it.balancer(1)) else {
            continue;
        };
        let id = format!("early-{}", flow.address.port());
        let outcome = it.caller.request(&mut flow, &id, it.balancer(1), DEADLINE);
        record.line(&format!("{id} is answered: {outcome:?}"));
        if outcome == Outcome::Answered(NEW.to_owned()) {
            flows.push(flow);
        }
    }
    if flows.is_empty() {
        return Err("no flow is open at the new backend server".to_owned());
    }
    it.wait_balancer(2)?;
    record.say(&format!(
        "{} flows are open at the new backend server; the third balancer is in rotation, and the \
         routers give their packets to the first",
        flows.len()
    ));
    let mut broken = 0;
    for flow in &mut flows {
        let held = backend.holds(flow.address);
        let id = format!("later-{}", flow.address.port());
        let outcome = it.caller.request(flow, &id, it.balancer(0), DEADLINE);
        record.line(&format!(
            "{id}, held by the backend server: {held}: {outcome:?}"
        ));
        broken += u32::from(held && outcome == Outcome::Reset && backend.holds(flow.address));
    }
    record.say(&format!(
        "{broken} of {} open flows were reset",
        flows.len()
    ));
    if !it.all_run() {
        return Err("a process has ended".to_owned());
    }
    let words = [
        "agent_listed",
        "agent_changed",
        "flow_reset",
        "config_in_force",
        "introduced",
    ];
    it.note_log("balancer-0", &words);
    Ok(broken > 0)
}
