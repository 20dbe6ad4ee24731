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

/// The control state machine of a fleet member.
#[derive(Debug)]
pub(super) enum Machine {
    Balancer(Box<BalancerNode>),
    Agent(Box<AgentNode>),
    /// The member was killed.
    Dead,
}

/// A state machine with its failure domain and service, both by number.
#[derive(Debug)]
pub(super) struct Member {
    pub machine: Machine,
    pub domain: usize,
    pub service: usize,
}

/// A scheduled event for one member.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Wake,
    Message { from: usize, payload: Vec<u8> },
}

/// Time, sequence number, receiving member and event.
type QueueEntry = (Timestamp, u64, usize, FleetEvent);

/// Balancers and agents with the simulated network and store that connect them.
#[derive(Debug)]
pub(super) struct Fleet {
    pub now: Timestamp,
    pub members: Vec<Member>,
    pub network: Network,
    pub store: Store,
    pub services: usize,
    settings: Settings,
    queue: BinaryHeap<Reverse<QueueEntry>>,
    /// Sequence number of the newest queue entry, which keeps entries of equal time in order.
    last_sequence: u64,
    /// Time spent in the state machines of balancers.
    pub balancer_time: Duration,
    pub rng: ChaCha8Rng,
}

impl Fleet {
    /// Number of balancers in the configuration of each member.
    const CONFIGURED_PEERS: usize = 5;
    /// Simulated time between two checks for due answers of the store.
    const STORE_POLL_INTERVAL: Duration = Duration::from_millis(5);

    pub fn new(options: &Options) -> Self {
        let mut fleet = Self {
            now: Timestamp::from_millis(1_000),
            members: Vec::new(),
            network: Network {
                loss_per_mille: options.loss_per_mille,
                partitioned_region: None,
            },
            store: Store::new(fleet_plan::snapshot(options.services, 1)),
            services: options.services,
            settings: Settings::new(),
            queue: BinaryHeap::new(),
            last_sequence: 0,
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

    /// Starts a balancer that is configured with some of `controls` and returns its number.
    pub fn add_balancer(&mut self, domain: usize, controls: &[SocketAddrV4]) -> usize {
        let number = self.members.len();
        let peers = self.choose_peers(controls);
        let identity = fleet_plan::balancer(number, domain, peers);
        let seed = self.rng.random();
        let node = BalancerNode::new(self.settings.clone(), &identity, seed, self.now);
        self.add(Machine::Balancer(Box::new(node)), domain, 0)
    }

    /// Starts an agent that is configured with some of `controls` and returns its number.
    pub fn add_agent(&mut self, domain: usize, service: usize, controls: &[SocketAddrV4]) -> usize {
        let number = self.members.len();
        let balancers = self.choose_peers(controls);
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

    /// Returns the control addresses of some running balancers, chosen at random.
    pub fn running_controls(&mut self) -> Vec<SocketAddrV4> {
        let all: Vec<SocketAddrV4> = self
            .balancers()
            .map(|(number, _)| fleet_plan::control(number))
            .collect();
        self.choose_peers(&all)
    }

    pub fn kill(&mut self, number: usize) {
        self.members[number].machine = Machine::Dead;
    }

    /// Stores the next version of the configuration.
    pub fn apply(&mut self) {
        let version = self.store.snapshot.version.get() + 1;
        let snapshot = fleet_plan::snapshot(self.services, version);
        self.store.snapshot = std::sync::Arc::new(snapshot);
    }

    /// Runs the fleet for `time` of simulated time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let slice_end = (self.now + Self::STORE_POLL_INTERVAL).min(end);
            while let Some(Reverse(entry)) = self.queue.pop() {
                if entry.0 > slice_end {
                    self.queue.push(Reverse(entry));
                    break;
                }
                self.now = self.now.max(entry.0);
                self.deliver(entry.2, entry.3);
            }
            self.now = slice_end;
            for (number, event) in self.store.take_due_answers(self.now) {
                self.feed_balancer(number, event);
            }
        }
    }

    fn choose_peers(&mut self, controls: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        controls
            .choose_multiple(&mut self.rng, Self::CONFIGURED_PEERS)
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
        self.schedule(self.now, number, FleetEvent::Wake);
        number
    }

    fn schedule(&mut self, at: Timestamp, number: usize, event: FleetEvent) {
        self.last_sequence += 1;
        self.queue
            .push(Reverse((at, self.last_sequence, number, event)));
    }

    fn deliver(&mut self, number: usize, event: FleetEvent) {
        let is_wake = event == FleetEvent::Wake;
        match &mut self.members[number].machine {
            Machine::Balancer(_) => {
                let event = match event {
                    FleetEvent::Wake => BalancerEvent::Tick,
                    FleetEvent::Message { from, payload } => BalancerEvent::Received {
                        from: fleet_plan::control(from),
                        payload,
                    },
                };
                self.feed_balancer(number, event);
            }
            Machine::Agent(_) => {
                let event = match event {
                    FleetEvent::Wake => AgentEvent::Tick,
                    FleetEvent::Message { from, payload } => AgentEvent::Received {
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
            self.schedule(next, number, FleetEvent::Wake);
        }
    }

    fn feed_balancer(&mut self, number: usize, event: BalancerEvent) {
        let Machine::Balancer(balancer) = &mut self.members[number].machine else {
            return;
        };
        let start = Instant::now();
        let actions = balancer.handle(event, self.now);
        self.balancer_time += start.elapsed();
        for action in actions {
            match action {
                BalancerAction::Send { to, payload } => self.send(number, to, payload),
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
                self.send(number, to, payload);
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, payload: Vec<u8>) {
        let to = fleet_plan::number(to);
        let (source, target) = (self.members[from].domain, self.members[to].domain);
        if let Some(delay) = self.network.delay(source, target, &mut self.rng) {
            let event = FleetEvent::Message { from, payload };
            self.schedule(self.now + delay, to, event);
        }
    }
}
