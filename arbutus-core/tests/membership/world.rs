//! A few machines with a network and a store between them, on one clock.

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
pub enum Life {
    Runs,
    Paused,
    Dead,
}

#[derive(Debug)]
pub enum Machine {
    Balancer(Box<BalancerNode>),
    Agent(Box<AgentNode>),
}

/// A machine with what the world knows of it.
#[derive(Debug)]
pub struct Node {
    pub machine: Machine,
    pub domain: String,
    pub life: Life,
    pub life_since: Timestamp,
    control: SocketAddrV4,
    tunnel: SocketAddrV4,
    /// Messages that came while it was paused.
    inbox: Vec<(SocketAddrV4, Vec<u8>)>,
    /// The highest configuration it put in force.
    config_seen: ConfigVersion,
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
    /// Whose control address it is now.
    owners: BTreeMap<SocketAddrV4, String>,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    sent: u64,
    next_check: Timestamp,
    /// When the network was last disturbed, or a balancer last stopped.
    disturbed_at: Timestamp,
    /// How far the clocks of new nodes lag, in milliseconds.
    pub clock_lag_ms: u64,
    /// How many balancers the settings of a new node name.
    pub named_balancers: usize,
    /// Promises that were broken.
    pub broken: BTreeSet<String>,
    rng: ChaCha8Rng,
}

impl World {
    /// Messages that wait for a paused machine; further ones are lost.
    const INBOX: usize = 4;
    const CHECK_INTERVAL: Duration = Duration::from_millis(100);
    /// Time within which a dead agent is nowhere a candidate, on a calm network.
    const DEAD_LIMIT: Duration = Duration::from_secs(3);

    pub fn new(seed: u64) -> Self {
        Self {
            now: Timestamp::from_millis(1_000),
            network: Network::default(),
            store: Store::default(),
            nodes: BTreeMap::new(),
            owners: BTreeMap::new(),
            queue: BTreeMap::new(),
            sent: 0,
            next_check: Timestamp::ZERO,
            disturbed_at: Timestamp::ZERO,
            clock_lag_ms: 0,
            named_balancers: 3,
            broken: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts a balancer that knows the first few others by its settings.
    pub fn start_balancer(&mut self, name: &str, domain: &str) {
        let (control, tunnel) = self.addresses(name);
        let peers = self.balancer_controls(self.named_balancers, control);
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
        let machine = Machine::Balancer(Box::new(node));
        self.insert(name, domain, machine, control, tunnel);
    }

    /// Starts an agent, at the addresses of `at` if given.
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
            balancers: self.balancer_controls(self.named_balancers, control),
        };
        let seed = self.rng.random();
        let node = AgentNode::new(Settings::new(), &identity, seed, self.now);
        let machine = Machine::Agent(Box::new(node));
        self.insert(name, domain, machine, control, tunnel);
    }

    pub fn set_life(&mut self, name: &str, life: Life) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if node.life == Life::Dead || node.life == life {
            return;
        }
        node.life = life;
        node.life_since = now;
        if matches!(node.machine, Machine::Balancer(_)) {
            self.disturbed_at = now;
        }
        let inbox = std::mem::take(&mut self.nodes.get_mut(name).expect("it is there").inbox);
        if life == Life::Runs {
            for (from, payload) in inbox {
                self.receive(name, from, payload);
            }
        }
    }

    pub fn drain(&mut self, name: &str) {
        self.say(name, AgentState::Draining);
    }

    pub fn leave(&mut self, name: &str) {
        self.say(name, AgentState::Gone);
    }

    fn say(&mut self, name: &str, state: AgentState) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if let (Machine::Agent(agent), Life::Runs) = (&mut node.machine, node.life) {
            let actions = if state == AgentState::Gone {
                agent.leave(now)
            } else {
                agent.drain(now)
            };
            self.carry_out_agent(name, actions);
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
            .filter(|(_, node)| node.life == Life::Runs)
            .filter_map(|(name, node)| match &node.machine {
                Machine::Balancer(balancer) => Some((name.as_str(), &**balancer)),
                Machine::Agent(_) => None,
            })
    }

    pub fn agents(&self) -> impl Iterator<Item = (&str, &AgentNode)> {
        self.nodes
            .iter()
            .filter(|(_, node)| node.life == Life::Runs)
            .filter_map(|(name, node)| match &node.machine {
                Machine::Agent(agent) => Some((name.as_str(), &**agent)),
                Machine::Balancer(_) => None,
            })
    }

    /// The names of the agents that a balancer would send new flows to.
    pub fn candidates(balancer: &BalancerNode, service: &str) -> BTreeSet<String> {
        balancer
            .roster()
            .candidates(ServiceTag::of_name(service))
            .map(|agent| agent.name.to_string())
            .collect()
    }

    /// Whether no other node has taken its address.
    pub fn owns_address(&self, name: &str) -> bool {
        let control = self.nodes[name].control;
        self.owners.get(&control).is_some_and(|owner| owner == name)
    }

    fn next_event(&self) -> Option<Timestamp> {
        let delivery = self.queue.keys().next().map(|(at, _)| *at);
        let wakeups = self
            .nodes
            .values()
            .filter(|node| node.life == Life::Runs)
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
            .filter(|(_, node)| node.life == Life::Runs && node.next_wakeup() <= self.now)
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
        match &mut self.nodes.get_mut(name).expect("it is there").machine {
            Machine::Balancer(_) => self.feed_balancer(name, BalancerEvent::Tick),
            Machine::Agent(_) => self.feed_agent(name, AgentEvent::Tick),
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        let Some(name) = self.owners.get(&delivery.to).cloned() else {
            return;
        };
        let node = self.nodes.get_mut(&name).expect("owners are nodes");
        match node.life {
            Life::Runs => self.receive(&name, delivery.from, delivery.payload),
            Life::Paused if node.inbox.len() < Self::INBOX => {
                node.inbox.push((delivery.from, delivery.payload));
            }
            Life::Paused | Life::Dead => {}
        }
    }

    fn receive(&mut self, name: &str, from: SocketAddrV4, payload: Vec<u8>) {
        match &self.nodes[name].machine {
            Machine::Balancer(_) => {
                self.feed_balancer(name, BalancerEvent::Received { from, payload });
            }
            Machine::Agent(_) => self.feed_agent(name, AgentEvent::Received { from, payload }),
        }
    }

    fn feed_balancer(&mut self, name: &str, event: BalancerEvent) {
        let now = self.now;
        let node = self.nodes.get_mut(name).expect("it is there");
        let (Machine::Balancer(balancer), Life::Runs) = (&mut node.machine, node.life) else {
            return;
        };
        let control = node.control;
        for action in balancer.handle(event, now) {
            match action {
                BalancerAction::Send { to, payload } => self.post(control, to, &payload),
                BalancerAction::RosterChanged(_) => {}
                BalancerAction::ConfigInForce(snapshot) => self.note_config(name, snapshot.version),
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
        let node = self.nodes.get_mut(name).expect("it is there");
        if let (Machine::Agent(agent), Life::Runs) = (&mut node.machine, node.life) {
            let actions = agent.handle(event, now);
            self.carry_out_agent(name, actions);
        }
    }

    fn carry_out_agent(&mut self, name: &str, actions: Vec<AgentAction>) {
        let control = self.nodes[name].control;
        for action in actions {
            if let AgentAction::Send { to, payload } = action {
                self.post(control, to, &payload);
            }
        }
    }

    fn post(&mut self, from: SocketAddrV4, to: SocketAddrV4, payload: &[u8]) {
        let domain_of = |it: &SocketAddrV4| Some(self.nodes[self.owners.get(it)?].domain.clone());
        let (Some(source), Some(target)) = (domain_of(&from), domain_of(&to)) else {
            return;
        };
        for delay in self.network.delays(&source, &target, &mut self.rng) {
            self.sent += 1;
            let payload = payload.to_vec();
            let delivery = Delivery { from, to, payload };
            self.queue.insert((self.now + delay, self.sent), delivery);
        }
    }

    fn note_config(&mut self, name: &str, version: ConfigVersion) {
        let node = self.nodes.get_mut(name).expect("it is there");
        if version <= node.config_seen {
            self.broken.insert(format!("{name} went back to {version}"));
        }
        node.config_seen = version;
    }

    /// Checks what must hold at every moment.
    fn check(&mut self) {
        if !self.network.is_calm() {
            self.disturbed_at = self.now;
        }
        let mut broken = Vec::new();
        for (name, balancer) in self.balancers() {
            if balancer.invariant_violations() > 0 {
                broken.push(format!("{name} counted a violated invariant"));
            }
            for (tag, dead) in self.long_dead() {
                let is_candidate = |it: &&str| {
                    balancer
                        .roster()
                        .candidates(tag)
                        .any(|agent| &&*agent.name == it)
                };
                if [dead].iter().any(is_candidate) {
                    broken.push(format!("{name} has dead {dead} as a candidate"));
                }
            }
        }
        for (name, agent) in self.agents() {
            if agent.invariant_violations() > 0 {
                broken.push(format!("{name} counted a violated invariant"));
            }
        }
        self.broken.extend(broken);
    }

    /// Agents that have not run for long on a calm network.
    fn long_dead(&self) -> Vec<(ServiceTag, &str)> {
        if self.now.since(self.disturbed_at) <= Self::DEAD_LIMIT {
            return Vec::new();
        }
        self.nodes
            .iter()
            .filter(|(_, node)| {
                node.life != Life::Runs && self.now.since(node.life_since) > Self::DEAD_LIMIT
            })
            .filter_map(|(name, node)| match &node.machine {
                Machine::Agent(agent) => Some((agent.record().tag, name.as_str())),
                Machine::Balancer(_) => None,
            })
            .collect()
    }

    fn insert(
        &mut self,
        name: &str,
        domain: &str,
        machine: Machine,
        control: SocketAddrV4,
        tunnel: SocketAddrV4,
    ) {
        let node = Node {
            machine,
            domain: domain.to_owned(),
            life: Life::Runs,
            life_since: self.now,
            control,
            tunnel,
            inbox: Vec::new(),
            config_seen: ConfigVersion::NONE,
        };
        self.owners.insert(control, name.to_owned());
        self.nodes.insert(name.to_owned(), node);
    }

    /// The addresses of a node that is or was there, or new ones.
    fn addresses(&self, name: &str) -> (SocketAddrV4, SocketAddrV4) {
        if let Some(node) = self.nodes.get(name) {
            return (node.control, node.tunnel);
        }
        let last = u8::try_from(self.nodes.len() + 1).expect("worlds are small");
        let ip = Ipv4Addr::new(10, 0, 0, last);
        (SocketAddrV4::new(ip, 7_000), SocketAddrV4::new(ip, 7_001))
    }

    fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.now.as_millis().saturating_sub(self.clock_lag_ms))
    }

    fn balancer_controls(&self, count: usize, but: SocketAddrV4) -> Vec<SocketAddrV4> {
        self.nodes
            .values()
            .filter(|node| matches!(node.machine, Machine::Balancer(_)))
            .map(|node| node.control)
            .filter(|control| *control != but)
            .take(count)
            .collect()
    }
}

impl Node {
    fn next_wakeup(&self) -> Timestamp {
        match &self.machine {
            Machine::Balancer(balancer) => balancer.next_wakeup(),
            Machine::Agent(agent) => agent.next_wakeup(),
        }
    }
}
