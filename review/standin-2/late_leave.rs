//! The last call of a backend server is delayed, and arrives after it has started again under the
//! identifier that it had.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    caller::Outcome,
    deployment::{Deployment, config_text, wait_for},
    hold::HoldingProxy,
    record::Record,
};

const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
const DRAIN: Duration = Duration::from_millis(3_000);
/// How long the path of the calls is cut after the last call was sent.
const CUT: Duration = Duration::from_millis(3_100);
/// When the call arrives after it was sent. TCP sends its bytes again after 0.2 s, and doubles the
/// pause each time: 0.2, 0.6, 1.4, 3.0 and 6.2 s after the first time.
const CALL_DELAY: Duration = Duration::from_millis(6_200);
const MAX_FLOWS: usize = 24;
const DEADLINE: Duration = Duration::from_millis(2_000);
const BALANCERS: u8 = 2;
const AGENTS: u8 = 2;
const ID: &str = "i-same";

fn service() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 200, 0, 1), 443)
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let config = config_text(1, &[service()]);
    let mut it = Deployment::start(record.clone(), &config, BALANCERS, AGENTS, None)?;
    let proxy = HoldingProxy::start(it.spare_address(0), it.control(0));
    let proxy = proxy.map_err(|err| err.to_string())?;
    let mut behind_proxy = it.backend_config(0, ID);
    behind_proxy.control = it.spare_address(0);
    let first = it.start_backend(behind_proxy.clone())?;
    it.start_backend(it.backend_config(1, "i-other"))?;
    it.wait_serving(usize::from(AGENTS))?;

    first.drain();
    thread::sleep(DRAIN);
    if trouble {
        record.say("the path of the first backend server's calls is cut");
        proxy.hold();
    }
    let left_at = Instant::now();
    first.send_leave(Duration::from_secs(1));
    first.crash();
    thread::sleep(CUT.saturating_sub(left_at.elapsed()));
    record.say("the path is whole again, and the backend server starts again");
    proxy.pass();
    let second = it.start_backend(behind_proxy)?;
    wait_for("the second process is registered", || {
        second.is_acknowledged()
    })?;
    thread::sleep(Duration::from_millis(500));

    let mut flows = Vec::new();
    for number in 0..MAX_FLOWS {
        if left_at.elapsed() + DEADLINE / 4 > CALL_DELAY {
            break;
        }
        let balancer = it.balancer(0);
        let Ok(mut flow) = it.caller.open(service(), balancer) else {
            continue;
        };
        let id = format!("early-{number}");
        let outcome = it.caller.request(&mut flow, &id, balancer, DEADLINE);
        record.line(&format!(
            "{id} on {} is answered: {outcome:?}",
            flow.address
        ));
        if outcome == Outcome::Answered(ID.to_owned()) {
            flows.push(flow);
        }
    }
    record.say(&format!(
        "{} flows are open at the second process",
        flows.len()
    ));
    if flows.is_empty() {
        return Err("no flow is open at the second process".to_owned());
    }
    thread::sleep(CALL_DELAY.saturating_sub(left_at.elapsed()));
    record.say("the delayed call arrives");
    proxy.release();
    thread::sleep(STABLE_WINDOW + Duration::from_secs(1));

    // The routers give the packets of the flows to another balancer.
    let balancer = it.balancer(1);
    let mut broken = 0;
    for (number, flow) in flows.iter_mut().enumerate() {
        let held = second.holds(flow.address);
        let id = format!("later-{number}");
        let outcome = it.caller.request(flow, &id, balancer, DEADLINE);
        record.line(&format!(
            "{id} on {}, which the backend server holds: {held}: {outcome:?}",
            flow.address
        ));
        broken += u32::from(held && outcome == Outcome::Reset && second.holds(flow.address));
    }
    record.say(&format!(
        "{broken} of {} open flows were reset",
        flows.len()
    ));
    if !it.all_run() {
        return Err("a process has ended".to_owned());
    }
    it.note_log("agent-0", &["backend_server", "heartbeat", "flow_reset"]);
    it.note_log("balancer-1", &["flow_reset"]);
    Ok(broken > 0)
}
