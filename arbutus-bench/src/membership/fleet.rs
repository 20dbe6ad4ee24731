use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use arbutus_core::{
    membership::{
        AgentAction, AgentEvent, AgentNode, BalancerAction, BalancerEvent, BalancerNode, Settings,
    },
    time::Timestamp,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::{
    fleet_plan::{self, DOMAINS},
    network::Network,
    options::Options,
    store::Store,
};

/// A machine of a fleet.
#[derive(Debug)]
pub(super) enum Machine {
    Balancer(Box<BalancerNode>),
    Agent(Box<AgentNode>),
    Dead,
}

/// A machine, where it is, and when it is to be woken.
#[derive(Debug)]
pub(super) struct Member {
    pub machine: Machine,
    pub domain: usize,
    pub service: usize,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Wake,
    Message { from: usize, payload: Vec<u8> },
}

type Entry = (Timestamp, u64, usize, Happening);

/// Balancers, agents, the network and the store between them.
#[derive(Debug)]
pub(super) struct Fleet {
    pub now: Timestamp,
    pub members: Vec<Member>,
    pub network: Network,
    pub store: Store,
    pub services: usize,
    settings: Settings,
    queue: BinaryHeap<Reverse<Entry>>,
    entries: u64,
    /// Processor time spent in balancers.
    pub balancer_time: Duration,
    pub rng: ChaCha8Rng,
}

impl Fleet {
    /// Configured balancers of each member.
    const PEERS: usize = 5;
    const STORE_POLL: Duration = Duration::from_millis(5);

    pub fn new(options: &Options) -> Self {
        let mut fleet = Self {
            now: Timestamp::from_millis(1_000),
            members: Vec::new(),
            network: Network {
                loss_per_mille: options.loss_per_mille,
                parted_region: None,
            },
            store: Store::new(fleet_plan::snapshot(options.services, 1)),
            services: options.services,
            settings: Settings::new(),
            queue: BinaryHeap::new(),
            entries: 0,
            balancer_time: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        };
        let controls: Vec<SocketAddrV4> = (0..options.balancers).map(fleet_plan::control).collect();
        for number in 0..options.balancers {
            fleet.add_balancer(number % DOMAINS, &controls);
        }
        for number in 0..options.agents {
            let service = number % options.services;
            fleet.add_agent(number % DOMAINS, service, &controls);
        }
        fleet
    }

    /// Starts a balancer that knows some of `controls`.
    pub fn add_balancer(&mut self, domain: usize, controls: &[SocketAddrV4]) -> usize {
        let number = self.members.len();
        let peers = self.some(controls);
        let identity = fleet_plan::balancer(number, domain, peers);
        let seed = self.rng.random();
        let node = BalancerNode::new(self.settings.clone(), &identity, seed, self.now);
        self.add(Machine::Balancer(Box::new(node)), domain, 0)
    }

    /// Starts an agent that knows some of `controls`.
    pub fn add_agent(&mut self, domain: usize, service: usize, controls: &[SocketAddrV4]) -> usize {
        let number = self.members.len();
        let balancers = self.some(controls);
        let identity = fleet_plan::agent(number, domain, service, balancers);
        let seed = self.rng.random();
        let node = AgentNode::new(self.settings.clone(), &identity, seed, self.now);
        self.add(Machine::Agent(Box::new(node)), domain, service)
    }

    pub fn balancers(&self) -> impl Iterator<Item = (usize, &BalancerNode)> {
        let members = self.members.iter().enumerate();
        members.filter_map(|(number, member)| match &member.machine {
            Machine::Balancer(balancer) => Some((number, &**balancer)),
            _ => None,
        })
    }

    pub fn agents(&self) -> impl Iterator<Item = (usize, &AgentNode)> {
        let members = self.members.iter().enumerate();
        members.filter_map(|(number, member)| match &member.machine {
            Machine::Agent(agent) => Some((number, &**agent)),
            _ => None,
        })
    }

    /// Control addresses of some running balancers.
    pub fn running_controls(&mut self) -> Vec<SocketAddrV4> {
        let all: Vec<SocketAddrV4> = self
            .balancers()
            .map(|(number, _)| fleet_plan::control(number))
            .collect();
        self.some(&all)
    }

    pub fn kill(&mut self, number: usize) {
        self.members[number].machine = Machine::Dead;
    }

    /// Accepts the next configuration.
    pub fn apply(&mut self) {
        let version = self.store.snapshot.version.get() + 1;
        let snapshot = fleet_plan::snapshot(self.services, version);
        self.store.snapshot = std::sync::Arc::new(snapshot);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let slice = (self.now + Self::STORE_POLL).min(end);
            while let Some(Reverse(entry)) = self.queue.pop() {
                if entry.0 > slice {
                    self.queue.push(Reverse(entry));
                    break;
                }
                self.now = self.now.max(entry.0);
                self.happen(entry.2, entry.3);
            }
            self.now = slice;
            for (number, event) in self.store.due(self.now) {
                self.feed_balancer(number, event);
            }
        }
    }

    fn some(&mut self, controls: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        controls
            .choose_multiple(&mut self.rng, Self::PEERS)
            .copied()
            .collect()
    }

    fn add(&mut self, machine: Machine, domain: usize, service: usize) -> usize {
        let number = self.members.len();
        self.members.push(Member {
            machine,
            domain,
            service,
        });
        self.schedule(self.now, number, Happening::Wake);
        number
    }

    fn schedule(&mut self, at: Timestamp, number: usize, happening: Happening) {
        self.entries += 1;
        self.queue
            .push(Reverse((at, self.entries, number, happening)));
    }

    fn happen(&mut self, number: usize, happening: Happening) {
        let is_wake = happening == Happening::Wake;
        match &mut self.members[number].machine {
            Machine::Balancer(_) => {
                let event = match happening {
                    Happening::Wake => BalancerEvent::Tick,
                    Happening::Message { from, payload } => BalancerEvent::Received {
                        from: fleet_plan::control(from),
                        payload,
                    },
                };
                self.feed_balancer(number, event);
            }
            Machine::Agent(_) => {
                let event = match happening {
                    Happening::Wake => AgentEvent::Tick,
                    Happening::Message { from, payload } => AgentEvent::Received {
                        from: fleet_plan::control(from),
                        payload,
                    },
                };
                self.feed_agent(number, event);
            }
            Machine::Dead => return,
        }
        if is_wake {
            let next = match &self.members[number].machine {
                Machine::Balancer(balancer) => balancer.next_wakeup(),
                Machine::Agent(agent) => agent.next_wakeup(),
                Machine::Dead => return,
            };
            self.schedule(next, number, Happening::Wake);
        }
    }

    fn feed_balancer(&mut self, number: usize, event: BalancerEvent) {
        let Machine::Balancer(balancer) = &mut self.members[number].machine else {
            return;
        };
        let begin = Instant::now();
        let actions = balancer.handle(event, self.now);
        self.balancer_time += begin.elapsed();
        for action in actions {
            match action {
                BalancerAction::Send { to, payload } => self.post(number, to, payload),
                BalancerAction::ReadStore(read) => {
                    if let Some(event) = self.store.read(number, read, self.now) {
                        self.feed_balancer(number, event);
                    }
                }
                BalancerAction::RosterChanged(_) | BalancerAction::ConfigInForce(_) => {}
            }
        }
    }

    fn feed_agent(&mut self, number: usize, event: AgentEvent) {
        let Machine::Agent(agent) = &mut self.members[number].machine else {
            return;
        };
        for action in agent.handle(event, self.now) {
            if let AgentAction::Send { to, payload } = action {
                self.post(number, to, payload);
            }
        }
    }

    fn post(&mut self, from: usize, to: SocketAddrV4, payload: Vec<u8>) {
        let to = fleet_plan::number(to);
        let (source, target) = (self.members[from].domain, self.members[to].domain);
        if let Some(delay) = self.network.delay(source, target, &mut self.rng) {
            let happening = Happening::Message { from, payload };
            self.schedule(self.now + delay, to, happening);
        }
    }
}
