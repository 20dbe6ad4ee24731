//! Configurations with many routes come in quick succession; the last one drops a route.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    caller::Outcome,
    deployment::{Deployment, config_text},
    record::Record,
};

/// Routes without traffic at the start, as on a grown site.
pub const IDLE_ROUTES: u32 = 240;
/// Routes that a large change adds (`big_config` of a site file), and how often that happens.
pub const ADDED_ROUTES: u32 = 1_600;
pub const LARGE_CHANGES: u32 = 2;
/// Changes of the storm and the pause between them (`config_storm` of a site file).
pub const STORM_CHANGES: u32 = 25;
pub const STORM_PAUSE: Duration = Duration::from_millis(80);
/// The bound within which a configuration applies.
pub const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
/// How long after the last change flows are opened on the dropped route.
const WATCHED: Duration = Duration::from_secs(24);
/// The length from which on the store adds no further change to an answer to a watch. WATCH_LIMIT=none
/// has it return all changes in one answer.
pub const WATCH_LIMIT: usize = 1_000_000;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(150);
const DEADLINE: Duration = Duration::from_millis(2_000);
const BALANCERS: u8 = 2;
const AGENTS: u8 = 2;

pub fn kept() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 200, 0, 1), 443)
}

fn dropped() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 200, 0, 2), 443)
}

pub fn idle(number: u32) -> SocketAddrV4 {
    let ip = Ipv4Addr::new(127, 201, (number / 200) as u8, (number % 200) as u8 + 1);
    SocketAddrV4::new(ip, 8_080)
}

pub fn routes(idle_routes: u32, with_dropped: bool) -> Vec<SocketAddrV4> {
    let own = [kept(), dropped()]
        .into_iter()
        .filter(|it| with_dropped || *it != dropped());
    own.chain((0..idle_routes).map(idle)).collect()
}

/// An attempt to use the dropped route.
struct Attempt {
    id: String,
    /// When the opening packet was first sent.
    sent_at: Instant,
    outcome: Outcome,
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let config = config_text(1, &routes(IDLE_ROUTES, true));
    let unlimited = std::env::var("WATCH_LIMIT").as_deref() == Ok("none");
    let limit = (!unlimited).then_some(WATCH_LIMIT);
    let mut it = Deployment::start(record.clone(), &config, BALANCERS, AGENTS, limit)?;
    for agent in 0..AGENTS {
        it.start_backend(it.backend_config(agent, &format!("i-{agent}")))?;
    }
    it.wait_serving(usize::from(AGENTS))?;
    check_served(&it, kept(), "before")?;

    let mut count = IDLE_ROUTES;
    for change in 1..=LARGE_CHANGES {
        count += ADDED_ROUTES;
        let config = config_text(u64::from(1 + change), &routes(count, true));
        record.say(&format!(
            "the operator adds {ADDED_ROUTES} routes, {} bytes",
            config.len()
        ));
        it.store.write("op/config", &config);
        thread::sleep(CONFIG_APPLY + Duration::from_secs(1));
        check_served(&it, idle(count - 1), &format!("big-{change}"))?;
    }
    check_served(&it, dropped(), "early")?;

    let changes = if trouble { STORM_CHANGES } else { 1 };
    let started_at = Instant::now();
    for change in 1..=changes {
        count += 1;
        let config = config_text(
            u64::from(1 + LARGE_CHANGES + 3 * change),
            &routes(count, change < changes),
        );
        it.store.write("op/config", &config);
        record.line(&format!(
            "change {change} is acknowledged, {} bytes",
            config.len()
        ));
        if change < changes {
            let due = STORM_PAUSE * change;
            thread::sleep(due.saturating_sub(started_at.elapsed()));
        }
    }
    let acknowledged_at = Instant::now();
    record.say(&format!(
        "the last of {changes} changes drops {}; acknowledged at {:.3} s",
        dropped(),
        record.seconds(acknowledged_at)
    ));
    let attempts = use_dropped_route(&it, acknowledged_at);
    check_served(&it, kept(), "after")?;
    if !it.all_run() {
        return Err("a process has ended".to_owned());
    }
    for index in 0..BALANCERS {
        it.note_log(
            &format!("balancer-{index}"),
            &["dependency", "config_in_force", "history"],
        );
    }
    let longest = it.store.largest_watch();
    record.say(&format!(
        "the longest answer of the store to a watch had {longest} bytes"
    ));
    Ok(judge(&it, record, &attempts, acknowledged_at))
}

/// Fails if a request for `service` is not answered through some balancer.
fn check_served(it: &Deployment, service: SocketAddrV4, name: &str) -> Result<(), String> {
    for index in 0..BALANCERS {
        let balancer = it.balancer(index);
        let flow = it.caller.open(service, balancer);
        let mut flow = flow.map_err(|err| format!("{service} via {balancer}: {err:?}"))?;
        let id = format!("{name}-{index}");
        match it.caller.request(&mut flow, &id, balancer, DEADLINE) {
            Outcome::Answered(_) => it.caller.close(&flow, balancer),
            other => return Err(format!("{service} via {balancer}: {other:?}")),
        }
    }
    Ok(())
}

fn use_dropped_route(it: &Deployment, from: Instant) -> Vec<Attempt> {
    let attempts = Mutex::new(Vec::new());
    thread::scope(|scope| {
        let mut number = 0;
        while from.elapsed() < WATCHED {
            let (id, balancer) = (format!("drop-{number}"), it.balancer(number % BALANCERS));
            let attempts = &attempts;
            scope.spawn(move || {
                let sent_at = Instant::now();
                let outcome = match it.caller.open(dropped(), balancer) {
                    Ok(mut flow) => {
                        let outcome = it.caller.request(&mut flow, &id, balancer, DEADLINE);
                        it.caller.close(&flow, balancer);
                        outcome
                    }
                    Err(outcome) => outcome,
                };
                attempts.lock().unwrap().push(Attempt {
                    id,
                    sent_at,
                    outcome,
                });
            });
            number = number.wrapping_add(1);
            thread::sleep(ATTEMPT_PAUSE);
        }
    });
    let mut attempts = attempts.into_inner().unwrap();
    attempts.sort_by_key(|it| it.sent_at);
    attempts
}

fn judge(it: &Deployment, record: &Record, attempts: &[Attempt], from: Instant) -> bool {
    let runs = it.runs.lock().unwrap();
    let (mut broken, mut last) = (0, Duration::ZERO);
    for attempt in attempts {
        let after = attempt.sent_at - from;
        let run = runs.iter().find(|run| run.request == attempt.id);
        record.line(&format!(
            "{} was sent {:.3} s after the acknowledgement: {:?}, run by {:?}",
            attempt.id,
            after.as_secs_f64(),
            attempt.outcome,
            run.map(|run| &run.backend)
        ));
        if run.is_some() {
            last = last.max(after);
            broken += u32::from(after > CONFIG_APPLY);
        }
    }
    record.say(&format!(
        "{broken} requests on the dropped route that were sent later than {CONFIG_APPLY:?} after \
         the acknowledgement were run; the last one that was run was sent {last:.3?} after it"
    ));
    broken > 0
}
