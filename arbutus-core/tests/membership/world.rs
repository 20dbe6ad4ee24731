//! A simulation of several nodes with a network and a store, on one clock.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use arbutus_core::{
    config::{ConfigVersion, Service},
    ident::{Incarnation, ServiceTag},
    membership::{
        AgentAction, AgentEvent, AgentIdentity, AgentNode, BalancerAction, BalancerEvent,
        BalancerIdentity, BalancerNode, Settings,
    },
    roster::AgentState,
    time::Timestamp,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{network::Network, store::Store};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    Running,
    Paused,
    Dead,
}

#[derive(Debug)]
pub enum StateMachine {
    Balancer(Box<BalancerNode>),
    Agent(Box<AgentNode>),
}

/// A node of the simulation.
#[derive(Debug)]
pub struct Node {
    pub state_machine: StateMachine,
    pub domain: String,
    pub run_state: RunState,
    pub run_state_since: Timestamp,
    control: SocketAddrV4,
    tunnel: SocketAddrV4,
    /// Messages received while the node was paused.
    inbox: Vec<(SocketAddrV4, Vec<u8>)>,
    /// The highest configuration version that the node put in force.
    highest_config: ConfigVersion,
}

#[derive(Debug)]
struct Delivery {
    from: SocketAddrV4,
    to: SocketAddrV4,
    payload: Vec<u8>,
}

#[derive(Debug)]
pub struct World {
    pub now: Timestamp,
    pub network: Network,
    pub store: Store,
    pub nodes: BTreeMap<String, Node>,
    /// The node that currently uses each control address.
    address_owners: BTreeMap<SocketAddrV4, String>,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    sent_count: u64,
    next_check: Timestamp,
    /// When the network was last disturbed, or the run state of a balancer last changed.
    disturbed_at: Timestamp,
    /// How far the clocks of new nodes lag, in milliseconds.
    pub clock_lag_ms: u64,
    /// How many balancers the settings of a new node contain.
    pub configured_balancers: usize,
    /// Violations of invariants found so far.
    pub violations: BTreeSet<String>,
    rng: ChaCha8Rng,
}

impl World {
    /// Maximum number of messages queued for a paused node; further ones are lost.
    const MAX_INBOX: usize = 4;
    const CHECK_INTERVAL: Duration = Duration::from_millis(100);
    /// Time after which no balancer may have a dead agent as a candidate, without disturbances.
    const DEAD_AGENT_LIMIT: Duration = Duration::from_secs(3);

    pub fn new(seed: u64) -> Self {
        Self {
            now: Timestamp::from_millis(1_000),
            network: Network::default(),
            store: Store::default(),
            nodes: BTreeMap::new(),
            address_owners: BTreeMap::new(),
            queue: BTreeMap::new(),
            sent_count: 0,
            next_check: Timestamp::ZERO,
            disturbed_at: Timestamp::ZERO,
            clock_lag_ms: 0,
            configured_balancers: 3,
            violations: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts a balancer configured with the first few other balancers.
    pub fn start_balancer(&mut self, name: &str, domain: &str) {
        let (control, tunnel) = self.addresses(name);
        let peers = self.balancer_addresses(self.configured_balancers, control);
        let identity = BalancerIdentity {
            name: Arc::from(name),
            failure_domain: Arc::from(domain),
            control,
            tunnel,
            admin_port: 7_002,
            incarnation: self.incarnation(),
            peers,
        };
        let seed = self.rng.random();
        let node = BalancerNode::new(Settings::new(), &identity, seed, self.now);
        let state_machine = StateMachine::Balancer(Box::new(node));
        self.insert(name, domain, state_machine, control, tunnel);
    }

    /// Starts an agent, at the addresses of node `at` if given.
    pub fn start_agent(&mut self, name: &str, domain: &str, service: &str, at: Option<&str>) {
        let (control, tunnel) = self.addresses(at.unwrap_or(name));
        let identity = AgentIdentity {
            name: Arc::from(name),
            failure_domain: Arc::from(domain),
            service: Arc::from(service),
            tunnel,
            control,
            admin_port: 7_002,
            incarnation: self.incarnation(),
            balancers: self.balancer_addresses(self.configured_balancers, control),
        };
        let seed = self.rng.random();
        let node = AgentNode::new(Settings::new(), &identity, seed, self.now);
        let state_machine = StateMachine::Agent(Box::new(node));
        self.insert(name, domain, state_machine, control, tunnel);
    }

    pub fn set_run_state(&mut self, name: &str, run_state: RunState) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if node.run_state == RunState::Dead || node.run_state == run_state {
            return;
        }
        node.run_state = run_state;
        node.run_state_since = now;
        if matches!(node.state_machine, StateMachine::Balancer(_)) {
            self.disturbed_at = now;
        }
        let inbox = std::mem::take(&mut self.nodes.get_mut(name).expect("the node exists").inbox);
        if run_state == RunState::Running {
            for (from, payload) in inbox {
                self.receive(name, from, payload);
            }
        }
    }

    pub fn drain(&mut self, name: &str) {
        self.request_state(name, AgentState::Draining);
    }

    pub fn leave(&mut self, name: &str) {
        self.request_state(name, AgentState::Gone);
    }

    fn request_state(&mut self, name: &str, state: AgentState) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if let (StateMachine::Agent(agent), RunState::Running) =
            (&mut node.state_machine, node.run_state)
        {
            let actions = if state == AgentState::Gone {
                agent.leave(now)
            } else {
                agent.drain(now)
            };
            self.carry_out_agent_actions(name, actions);
        }
    }

    pub fn apply(&mut self, services: &[&str]) {
        let services = services.iter().enumerate().map(|(index, name)| {
            let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
            Service::new(name, SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, last), 443))
        });
        self.apply_services(services.collect());
    }

    pub fn apply_services(&mut self, services: Vec<Service>) {
        self.store.apply(services);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(at) = self.next_event().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.step();
        }
        self.now = end;
    }

    pub fn balancers(&self) -> impl Iterator<Item = (&str, &BalancerNode)> {
        self.nodes
            .iter()
            .filter(|(_, node)| node.run_state == RunState::Running)
            .filter_map(|(name, node)| match &node.state_machine {
                StateMachine::Balancer(balancer) => Some((name.as_str(), &**balancer)),
                StateMachine::Agent(_) => None,
            })
    }

    pub fn agents(&self) -> impl Iterator<Item = (&str, &AgentNode)> {
        self.nodes
            .iter()
            .filter(|(_, node)| node.run_state == RunState::Running)
            .filter_map(|(name, node)| match &node.state_machine {
                StateMachine::Agent(agent) => Some((name.as_str(), &**agent)),
                StateMachine::Balancer(_) => None,
            })
    }

    /// Returns the names of the agents to which a balancer would send new flows.
    pub fn candidates(balancer: &BalancerNode, service: &str) -> BTreeSet<String> {
        balancer
            .roster()
            .candidates(ServiceTag::of_name(service))
            .map(|agent| agent.name.to_string())
            .collect()
    }

    /// Returns whether no other node has taken over the node's address.
    pub fn owns_address(&self, name: &str) -> bool {
        let control = self.nodes[name].control;
        self.address_owners
            .get(&control)
            .is_some_and(|owner| owner == name)
    }

    fn next_event(&self) -> Option<Timestamp> {
        let delivery = self.queue.keys().next().map(|(at, _)| *at);
        let wakeups = self
            .nodes
            .values()
            .filter(|node| node.run_state == RunState::Running)
            .map(Node::next_wakeup);
        wakeups
            .chain(delivery)
            .chain([self.next_check.max(self.now)])
            .min()
    }

    fn step(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let delivery = entry.remove();
            self.deliver(delivery);
        }
        for (balancer, event) in self.store.due(self.now) {
            self.feed_balancer(&balancer, event);
        }
        let names: Vec<String> = self
            .nodes
            .iter()
            .filter(|(_, node)| {
                node.run_state == RunState::Running && node.next_wakeup() <= self.now
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.tick(&name);
        }
        if self.now >= self.next_check {
            self.next_check = self.now + Self::CHECK_INTERVAL;
            self.check();
        }
    }

    fn tick(&mut self, name: &str) {
        match &mut self
            .nodes
            .get_mut(name)
            .expect("the node exists")
            .state_machine
        {
            StateMachine::Balancer(_) => self.feed_balancer(name, BalancerEvent::Tick),
            StateMachine::Agent(_) => self.feed_agent(name, AgentEvent::Tick),
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let Some(name) = self.address_owners.get(&delivery.to).cloned() else {
            return;
        };
        let node = self
            .nodes
            .get_mut(&name)
            .expect("owners are existing nodes");
        match node.run_state {
            RunState::Running => self.receive(&name, delivery.from, delivery.payload),
            RunState::Paused if node.inbox.len() < Self::MAX_INBOX => {
                node.inbox.push((delivery.from, delivery.payload));
            }
            RunState::Paused | RunState::Dead => {}
        }
    }

    fn receive(&mut self, name: &str, from: SocketAddrV4, payload: Vec<u8>) {
        match &self.nodes[name].state_machine {
            StateMachine::Balancer(_) => {
                self.feed_balancer(name, BalancerEvent::Received { from, payload });
            }
            StateMachine::Agent(_) => self.feed_agent(name, AgentEvent::Received { from, payload }),
        }
    }

    fn feed_balancer(&mut self, name: &str, event: BalancerEvent) {
        let now = self.now;
        let node = self.nodes.get_mut(name).expect("the node exists");
        let (StateMachine::Balancer(balancer), RunState::Running) =
            (&mut node.state_machine, node.run_state)
        else {
            return;
        };
        let control = node.control;
        for action in balancer.handle(event, now) {
            match action {
                BalancerAction::Send { to, payload } => self.send(control, to, &payload),
                BalancerAction::RosterChanged(_) => {}
                BalancerAction::ConfigInForce(snapshot) => self.on_config(name, snapshot.version),
                BalancerAction::ReadStore(read) => {
                    if let Some(event) = self.store.read(name, read, now) {
                        self.feed_balancer(name, event);
                    }
                }
            }
        }
    }

    fn feed_agent(&mut self, name: &str, event: AgentEvent) {
        let now = self.now;
        let node = self.nodes.get_mut(name).expect("the node exists");
        if let (StateMachine::Agent(agent), RunState::Running) =
            (&mut node.state_machine, node.run_state)
        {
            let actions = agent.handle(event, now);
            self.carry_out_agent_actions(name, actions);
        }
    }

    fn carry_out_agent_actions(&mut self, name: &str, actions: Vec<AgentAction>) {
        let control = self.nodes[name].control;
        for action in actions {
            if let AgentAction::Send { to, payload } = action {
                self.send(control, to, &payload);
            }
        }
    }

    fn send(&mut self, from: SocketAddrV4, to: SocketAddrV4, payload: &[u8]) {
        let domain_of =
            |it: &SocketAddrV4| Some(self.nodes[self.address_owners.get(it)?].domain.clone());
        let (Some(source), Some(target)) = (domain_of(&from), domain_of(&to)) else {
            return;
        };
        for delay in self.network.delays(&source, &target, &mut self.rng) {
            self.sent_count += 1;
            let payload = payload.to_vec();
            let delivery = Delivery { from, to, payload };
            self.queue
                .insert((self.now + delay, self.sent_count), delivery);
        }
    }

    fn on_config(&mut self, name: &str, version: ConfigVersion) {
        let node = self.nodes.get_mut(name).expect("the node exists");
        if version <= node.highest_config {
            self.violations
                .insert(format!("{name} went back to configuration {version}"));
        }
        node.highest_config = version;
    }

    /// Checks the invariants that must hold at all times.
    fn check(&mut self) {
        if !self.network.is_undisturbed() {
            self.disturbed_at = self.now;
        }
        let mut violations = Vec::new();
        for (name, balancer) in self.balancers() {
            if balancer.invariant_violations() > 0 {
                violations.push(format!("{name} counted an invariant violation"));
            }
            for (tag, dead) in self.long_stopped_agents() {
                let is_candidate = |it: &&str| {
                    balancer
                        .roster()
                        .candidates(tag)
                        .any(|agent| &&*agent.name == it)
                };
                if [dead].iter().any(is_candidate) {
                    violations.push(format!("{name} has dead {dead} as a candidate"));
                }
            }
        }
        for (name, agent) in self.agents() {
            if agent.invariant_violations() > 0 {
                violations.push(format!("{name} counted an invariant violation"));
            }
        }
        self.violations.extend(violations);
    }

    /// Returns the agents that have been paused or dead beyond the limit, without disturbances.
    fn long_stopped_agents(&self) -> Vec<(ServiceTag, &str)> {
        if self.now.since(self.disturbed_at) <= Self::DEAD_AGENT_LIMIT {
            return Vec::new();
        }
        self.nodes
            .iter()
            .filter(|(_, node)| {
                node.run_state != RunState::Running
                    && self.now.since(node.run_state_since) > Self::DEAD_AGENT_LIMIT
            })
            .filter_map(|(name, node)| match &node.state_machine {
                StateMachine::Agent(agent) => Some((agent.record().tag, name.as_str())),
                StateMachine::Balancer(_) => None,
            })
            .collect()
    }

    fn insert(
        &mut self,
        name: &str,
        domain: &str,
        state_machine: StateMachine,
        control: SocketAddrV4,
        tunnel: SocketAddrV4,
    ) {
        let node = Node {
            state_machine,
            domain: domain.to_owned(),
            run_state: RunState::Running,
            run_state_since: self.now,
            control,
            tunnel,
            inbox: Vec::new(),
            highest_config: ConfigVersion::NONE,
        };
        self.address_owners.insert(control, name.to_owned());
        self.nodes.insert(name.to_owned(), node);
    }

    /// Returns the addresses of an existing or former node, or new ones.
    fn addresses(&self, name: &str) -> (SocketAddrV4, SocketAddrV4) {
        if let Some(node) = self.nodes.get(name) {
            return (node.control, node.tunnel);
        }
        let last = u8::try_from(self.nodes.len() + 1).expect("fewer than 255 nodes");
        let ip = Ipv4Addr::new(10, 0, 0, last);
        (SocketAddrV4::new(ip, 7_000), SocketAddrV4::new(ip, 7_001))
    }

    fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.now.as_millis().saturating_sub(self.clock_lag_ms))
    }

    fn balancer_addresses(&self, count: usize, except: SocketAddrV4) -> Vec<SocketAddrV4> {
        self.nodes
            .values()
            .filter(|node| matches!(node.state_machine, StateMachine::Balancer(_)))
            .map(|node| node.control)
            .filter(|control| *control != except)
            .take(count)
            .collect()
    }
}

impl Node {
    fn next_wakeup(&self) -> Timestamp {
        match &self.state_machine {
            StateMachine::Balancer(balancer) => balancer.next_wakeup(),
            StateMachine::Agent(agent) => agent.next_wakeup(),
        }
    }
}
