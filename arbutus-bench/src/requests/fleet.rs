use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use arbutus_core::{
    config::BalanceMode,
    ident::{Incarnation, ServiceTag},
    keys::{KeyRing, SystemKey},
    request::{
        Action, AgentIdentity, Attempt, Event, Method, Origin, Outcome, PeerCapacity, RequestHead,
        RequestId, RequestMachine, UpstreamHead,
    },
    time::Timestamp,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{load::Load, tally::Tally};

/// One-way delay between two agents.
const AGENT_HOP_DELAY: Duration = Duration::from_millis(4);
/// Interval at which agents report their free slots to each other.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time that a connection takes to fail or to close.
const CLOSE_DELAY: Duration = Duration::from_millis(1);

/// An event of a run. Agents are given by their index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// A caller sends a request.
    Arrived,
    /// All agents report their free slots.
    CapacityReport,
    /// The timer of an agent expires.
    Wakeup(usize),
    /// A backend server completes an attempt.
    Done(usize, Attempt),
    /// An attempt fails at a backend server.
    Failed(usize, Attempt),
    /// The connection of a cancelled attempt is closed.
    Closed(usize, Attempt),
    /// A request that another agent passed on arrives at an agent.
    PassedOn {
        to: usize,
        from: usize,
        attempt: Attempt,
        time_left: Duration,
    },
    /// The answer to a request that was passed on returns to the first agent.
    PeerAnswered {
        to: usize,
        attempt: Attempt,
        outcome: OrderedOutcome,
    },
}

/// A request outcome with an order, which entries of the event queue need.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum OrderedOutcome {
    Ran,
    NotRun,
    Unknown,
}

/// Destination of the answer to a request.
#[derive(Debug, Clone, Copy)]
enum Requester {
    Caller { since: Timestamp },
    Peer { agent: usize, attempt: Attempt },
}

/// Agents of one service with their simulated backend servers.
pub(super) struct Fleet {
    load: Load,
    machines: Vec<RequestMachine>,
    requesters: BTreeMap<RequestId, Requester>,
    /// Pending events with their time and sequence number.
    events: BinaryHeap<Reverse<(Timestamp, u64, SimEvent)>>,
    sequence: u64,
    requests: u64,
    rng: ChaCha8Rng,
    now: Timestamp,
    tally: Tally,
}

impl Fleet {
    pub(super) fn new(load: Load, seed: u64) -> Self {
        let machines = (0..usize::from(load.agents))
            .map(|agent| machine(agent, &load, seed))
            .collect();
        Self {
            load,
            machines,
            requesters: BTreeMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            requests: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Timestamp::ZERO,
            tally: Tally::new(),
        }
    }

    /// Runs the load for `time` of simulated time and returns the results that callers received.
    pub(super) fn run(mut self, time: Duration) -> Tally {
        let end = Timestamp::ZERO + time;
        self.schedule(Duration::ZERO, SimEvent::CapacityReport);
        self.schedule(Duration::ZERO, SimEvent::Arrived);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
        self.tally
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrived => self.on_arrival(),
            SimEvent::CapacityReport => self.report_capacities(),
            SimEvent::Wakeup(agent) => {
                let is_due = |at| at <= self.now;
                if self.machines[agent].next_wakeup().is_some_and(is_due) {
                    self.feed(agent, Event::Tick);
                }
            }
            SimEvent::Done(agent, attempt) => {
                let head = UpstreamHead::new(200);
                self.feed(agent, Event::UpstreamHead { attempt, head });
                self.feed(agent, Event::UpstreamEnded { attempt });
            }
            SimEvent::Failed(agent, attempt) => {
                let sent = true;
                self.feed(agent, Event::UpstreamFailed { attempt, sent });
            }
            SimEvent::Closed(agent, attempt) => self.feed(agent, Event::UpstreamClosed { attempt }),
            SimEvent::PassedOn {
                to,
                from,
                attempt,
                time_left,
            } => {
                let requester = Requester::Peer {
                    agent: from,
                    attempt,
                };
                let head = RequestHead::new(Method::Get, "/").origin(Origin::Peer);
                self.submit(to, requester, head.time_left(time_left));
            }
            SimEvent::PeerAnswered {
                to,
                attempt,
                outcome,
            } => self.on_peer_answer(to, attempt, outcome),
        }
    }

    fn on_arrival(&mut self) {
        let slots = f64::from(self.load.policy.slots) * f64::from(self.load.agents);
        let per_second = slots / self.load.mean_service_time.as_secs_f64();
        let rate = per_second * f64::from(self.load.offered_percent) / 100.0;
        let gap = self.exponential(1.0 / rate);
        self.schedule(gap, SimEvent::Arrived);
        self.tally.requests += 1;
        let agent = self.rng.random_range(0..self.machines.len());
        let requester = Requester::Caller { since: self.now };
        self.submit(agent, requester, RequestHead::new(Method::Get, "/"));
    }

    /// Draws from an exponential distribution.
    fn exponential(&mut self, mean_s: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean_s)
    }

    /// Passes a new request to an agent.
    fn submit(&mut self, agent: usize, requester: Requester, head: RequestHead) {
        self.requests += 1;
        let request = RequestId::new(self.requests);
        self.requesters.insert(request, requester);
        self.feed(agent, Event::Arrived { request, head });
    }

    fn report_capacities(&mut self) {
        self.schedule(REPORT_INTERVAL, SimEvent::CapacityReport);
        let capacities: Vec<PeerCapacity> = self
            .machines
            .iter()
            .enumerate()
            .map(|(agent, machine)| PeerCapacity {
                control: control(agent),
                free_slots: machine.free_slots(),
            })
            .collect();
        for agent in 0..self.machines.len() {
            let mut peers = capacities.clone();
            peers.remove(agent);
            self.feed(agent, Event::PeersChanged { peers });
        }
    }

    fn on_peer_answer(&mut self, to: usize, attempt: Attempt, outcome: OrderedOutcome) {
        let (status, outcome) = match outcome {
            OrderedOutcome::Ran => (200, Outcome::Ran),
            OrderedOutcome::NotRun => (503, Outcome::NotRun),
            OrderedOutcome::Unknown => (502, Outcome::Unknown),
        };
        let head = UpstreamHead::new(status).outcome(outcome);
        self.feed(to, Event::UpstreamHead { attempt, head });
        self.feed(to, Event::UpstreamEnded { attempt });
    }

    /// Passes an event to an agent, performs the agent's actions and schedules its next wakeup.
    fn feed(&mut self, agent: usize, event: Event) {
        let actions = self.machines[agent].handle(event, self.now);
        for action in actions {
            self.perform(agent, action);
        }
        if let Some(at) = self.machines[agent].next_wakeup() {
            self.schedule(at.since(self.now), SimEvent::Wakeup(agent));
        }
    }

    fn perform(&mut self, agent: usize, action: Action) {
        match action {
            Action::Connect { attempt } => self.feed(agent, Event::Connected { attempt }),
            Action::Send { attempt, .. } => {
                self.tally.attempts += 1;
                if agent < usize::from(self.load.failing_servers) {
                    self.tally.wasted += 1;
                    self.schedule(CLOSE_DELAY, SimEvent::Failed(agent, attempt));
                } else {
                    let service_time = self.exponential(self.load.mean_service_time.as_secs_f64());
                    self.schedule(service_time, SimEvent::Done(agent, attempt));
                }
            }
            Action::PassOn {
                attempt,
                peer,
                time_left,
            } => {
                let to = usize::from(peer.port());
                let time_left = time_left.saturating_sub(AGENT_HOP_DELAY);
                self.schedule(
                    AGENT_HOP_DELAY,
                    SimEvent::PassedOn {
                        to,
                        from: agent,
                        attempt,
                        time_left,
                    },
                );
            }
            Action::Cancel { attempt } => {
                if !matches!(
                    self.requesters.get(&attempt.request),
                    Some(Requester::Peer { .. })
                ) {
                    self.tally.wasted += 1;
                }
                self.schedule(CLOSE_DELAY, SimEvent::Closed(agent, attempt));
            }
            Action::Finish { request } => self.complete(request, OrderedOutcome::Ran),
            Action::Answer { request, answer } => self.complete(request, ordered(answer.outcome)),
            Action::Abort { request } => self.complete(request, OrderedOutcome::Unknown),
            Action::Relay { .. } | Action::HandOver { .. } => {}
        }
    }

    /// Records the outcome of a request at its caller, or returns it to the agent that passed it on.
    fn complete(&mut self, request: RequestId, outcome: OrderedOutcome) {
        match self.requesters.remove(&request) {
            Some(Requester::Caller { since }) => {
                let elapsed = self.now.since(since);
                match outcome {
                    OrderedOutcome::Ran => return self.tally.record_answer(elapsed),
                    OrderedOutcome::NotRun => self.tally.not_run += 1,
                    OrderedOutcome::Unknown => self.tally.unknown += 1,
                }
                self.tally.record_refusal(elapsed);
            }
            Some(Requester::Peer { agent, attempt }) => {
                self.schedule(
                    AGENT_HOP_DELAY,
                    SimEvent::PeerAnswered {
                        to: agent,
                        attempt,
                        outcome,
                    },
                );
            }
            None => {}
        }
    }
}

/// Converts an outcome to its ordered form.
const fn ordered(outcome: Outcome) -> OrderedOutcome {
    match outcome {
        Outcome::Ran => OrderedOutcome::Ran,
        Outcome::NotRun => OrderedOutcome::NotRun,
        Outcome::Unknown => OrderedOutcome::Unknown,
    }
}

/// Returns the control address of an agent, whose port is its index.
fn control(agent: usize) -> SocketAddrV4 {
    let port = u16::try_from(agent).expect("agent indices fit into 16 bits");
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn machine(agent: usize, load: &Load, seed: u64) -> RequestMachine {
    let identity = AgentIdentity {
        tunnel: control(agent),
        control: control(agent),
        tag: ServiceTag::of_name("lookup"),
        incarnation: Incarnation::new(1),
    };
    let keys = Arc::new(KeyRing::single(SystemKey::derive(&[1; 32])));
    let seed = seed ^ u64::try_from(agent).unwrap_or(0);
    let policy = load.policy.clone();
    RequestMachine::new(
        identity,
        policy,
        BalanceMode::Stay,
        keys,
        seed,
        Timestamp::ZERO,
    )
}
