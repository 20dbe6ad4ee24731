//! Memory and processor time of one balancer at the planned size of a deployment.

use std::time::{Duration, Instant};

use arbutus_core::{
    ident::{Incarnation, ServiceTag},
    membership::{
        BalancerEvent, BalancerNode, Heartbeat, Keepalive, LinkIntent, Message, Push, Settings,
        wire,
    },
    roster::{AgentRecord, AgentState, BalancerRecord, Rank, Update},
    time::Timestamp,
};

use super::{
    fleet_plan::{self, DOMAINS},
    report::Findings,
};

const BALANCERS: usize = 6_100;
const AGENTS: usize = 33_000;
const SERVICES: usize = 5_800;
/// Number of balancers held at the same time, so that the resident size of one can be measured.
const COPIES: u64 = 4;
/// Number of heartbeats that a balancer receives per second.
const HEARTBEATS_PER_S: usize = 33;

/// Measures one balancer of the planned size and adds the figures to `findings`.
pub(super) fn run(findings: &mut Findings) {
    let before = resident_kib();
    let start = Instant::now();
    let mut nodes: Vec<BalancerNode> = (0..COPIES).map(filled_balancer).collect();
    let fill_time = start.elapsed() / u32::try_from(COPIES).unwrap_or(1);
    let kib_per_balancer = resident_kib().saturating_sub(before) / COPIES;
    findings.add("full_size.balancers", BALANCERS);
    findings.add("full_size.agents", AGENTS);
    findings.add("full_size.services", SERVICES);
    findings.add("full_size.resident_kib_of_a_balancer", kib_per_balancer);
    findings.add("full_size.fill_ms", fill_time.as_millis());
    findings.add("full_size.config_change_us", config_change(&mut nodes[1]));
    findings.add("full_size.homes_renewal_us", homes_renewal(&mut nodes[2]));
    findings.add("full_size.cpu_percent", cpu_percent(&mut nodes[0]));
}

/// Returns a balancer that holds all records and the configuration of the planned size.
fn filled_balancer(seed: u64) -> BalancerNode {
    let identity = fleet_plan::balancer(0, 0, Vec::new());
    let settings = Settings::new();
    let mut node = BalancerNode::new(settings, &identity, seed, Timestamp::ZERO);
    let from = fleet_plan::control(1);
    let balancers = (0..BALANCERS).map(balancer_record).map(|record| {
        let age_s = 0;
        Update::Balancer { record, age_s }
    });
    let agents = (BALANCERS..BALANCERS + AGENTS)
        .map(agent_record)
        .map(|record| Update::Agent { record, age_s: 0 });
    let updates: Vec<Update> = balancers.chain(agents).collect();
    for chunk in updates.chunks(200) {
        let updates = chunk.to_vec();
        receive(&mut node, from, &Message::Push(Push { updates }), 0);
    }
    let snapshot = fleet_plan::snapshot(SERVICES, 1);
    let event = BalancerEvent::ConfigRead(std::sync::Arc::new(snapshot));
    node.handle(event, Timestamp::from_millis(100));
    node
}

/// Returns the time in microseconds to put a change of one service in force, without the read of
/// the store.
fn config_change(node: &mut BalancerNode) -> u128 {
    let snapshot = std::sync::Arc::new(fleet_plan::snapshot(SERVICES, 2));
    let start = Instant::now();
    node.handle(
        BalancerEvent::ConfigRead(snapshot),
        Timestamp::from_millis(150),
    );
    start.elapsed().as_micros()
}

/// Returns the time in microseconds of the first round after a balancer joined.
fn homes_renewal(node: &mut BalancerNode) -> u128 {
    let record = balancer_record(BALANCERS + AGENTS);
    let update = Update::Balancer { record, age_s: 0 };
    let updates = vec![update];
    let push = Message::Push(Push { updates });
    receive(node, fleet_plan::control(1), &push, 150);
    let start = Instant::now();
    node.handle(BalancerEvent::Tick, Timestamp::from_millis(2_000));
    start.elapsed().as_micros()
}

/// Returns the processor time of a steady minute, in percent of one core.
///
/// The minute consists of rounds, the heartbeats of the agents that the balancer watches, the
/// keepalives of eight links, and a changed record every two seconds.
fn cpu_percent(node: &mut BalancerNode) -> f64 {
    const SECONDS: u64 = 60;
    const LINKS: usize = 8;
    let start_ms = 1_000;
    let mut spent = Duration::ZERO;
    for tenth in 0..SECONDS * 10 {
        let now_ms = start_ms + tenth * 100;
        let mut messages: Vec<(usize, Message)> = Vec::new();
        for index in 0..HEARTBEATS_PER_S.div_ceil(10) {
            let slot = usize::try_from(tenth % 5).unwrap_or(0);
            let agent = BALANCERS + 10 * (index + slot * 4);
            messages.push((agent, heartbeat(agent)));
        }
        if tenth % 7 == 0 {
            let links = 1..=LINKS;
            messages.extend(links.map(|link| (link, keepalive(link, node.roster().root_digest()))));
        }
        if tenth % 20 == 0 {
            let version = u32::try_from(tenth).unwrap_or(0) + 2;
            messages.push((1, record_change(version)));
        }
        for (from, message) in messages {
            let start = Instant::now();
            receive(node, fleet_plan::control(from), &message, now_ms);
            spent += start.elapsed();
        }
        let start = Instant::now();
        node.handle(BalancerEvent::Tick, Timestamp::from_millis(now_ms));
        spent += start.elapsed();
    }
    spent.as_secs_f64() / Duration::from_secs(SECONDS).as_secs_f64() * 100.0
}

fn heartbeat(agent: usize) -> Message {
    let record = agent_record(agent);
    Message::Heartbeat(Heartbeat {
        tunnel: record.tunnel,
        rank: record.rank(),
        is_home: true,
        record: None,
        service_version: arbutus_core::config::ConfigVersion::new(1),
        wants_peers: agent.is_multiple_of(50),
        wants_homes: agent.is_multiple_of(100),
    })
}

fn keepalive(balancer: usize, roster_digest: u64) -> Message {
    Message::Keepalive(Keepalive {
        record: balancer_record(balancer),
        intent: LinkIntent::Link,
        roster_digest,
        config_version: arbutus_core::config::ConfigVersion::new(1),
        receiver_rank: None,
    })
}

fn record_change(version: u32) -> Message {
    let record = agent_record(BALANCERS + AGENTS - 1);
    let rank = Rank {
        version,
        ..record.rank()
    };
    let update = Update::AgentRank {
        tunnel: record.tunnel,
        rank,
        weight_percent: record.weight_percent,
        age_s: 0,
    };
    Message::Push(Push {
        updates: vec![update],
    })
}

fn receive(node: &mut BalancerNode, from: std::net::SocketAddrV4, message: &Message, now_ms: u64) {
    let payload = wire::encode(message);
    let event = BalancerEvent::Received { from, payload };
    node.handle(event, Timestamp::from_millis(now_ms));
}

fn balancer_record(number: usize) -> BalancerRecord {
    let identity = fleet_plan::balancer(number, number % DOMAINS, Vec::new());
    BalancerRecord {
        control: identity.control,
        tunnel: identity.tunnel,
        admin_port: identity.admin_port,
        name: identity.name,
        failure_domain: identity.failure_domain,
        incarnation: Incarnation::new(1_780_000_000_000),
        version: 1,
        state: AgentState::Ready,
    }
}

fn agent_record(number: usize) -> AgentRecord {
    let identity = fleet_plan::agent(number, number % DOMAINS, number % SERVICES, Vec::new());
    AgentRecord {
        tunnel: identity.tunnel,
        control: identity.control,
        admin_port: identity.admin_port,
        name: identity.name,
        failure_domain: identity.failure_domain,
        tag: ServiceTag::of_name(&identity.service),
        incarnation: Incarnation::new(1_780_000_000_000),
        version: 1,
        state: AgentState::Ready,
        weight_percent: 100,
    }
}

/// Returns the resident memory of this process in KiB, or 0 if it cannot be read.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|kib| kib.parse().ok())
        .unwrap_or_default()
}
