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

/// One way between two agents.
const HOP: Duration = Duration::from_millis(4);
/// How often agents tell each other their free slots.
const REPORT_EVERY: Duration = Duration::from_millis(200);
/// How long a connection takes to fail or to close.
const CLOSE_AFTER: Duration = Duration::from_millis(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Reports,
    Wake(usize),
    Done(usize, Attempt),
    Failed(usize, Attempt),
    Closed(usize, Attempt),
    AtPeer {
        to: usize,
        from: usize,
        attempt: Attempt,
        left: Duration,
    },
    PeerAnswer {
        to: usize,
        attempt: Attempt,
        outcome: Outcomes,
    },
}

/// An outcome that can be ordered, as events of one time are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Outcomes {
    Ran,
    NotRun,
    Unknown,
}

/// Who waits for a request's answer.
#[derive(Debug, Clone, Copy)]
enum Asker {
    Caller { since: Timestamp },
    Peer { agent: usize, attempt: Attempt },
}

/// The agents of one service with their backend servers.
pub(super) struct Fleet {
    load: Load,
    machines: Vec<RequestMachine>,
    askers: BTreeMap<RequestId, Asker>,
    due: BinaryHeap<Reverse<(Timestamp, u64, Due)>>,
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
            askers: BTreeMap::new(),
            due: BinaryHeap::new(),
            sequence: 0,
            requests: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Timestamp::ZERO,
            tally: Tally::new(),
        }
    }

    /// Runs the load for `time` and returns what callers saw.
    pub(super) fn run(mut self, time: Duration) -> Tally {
        let end = Timestamp::ZERO + time;
        self.plan(Duration::ZERO, Due::Reports);
        self.plan(Duration::ZERO, Due::Arrival);
        while let Some(Reverse((at, _, due))) = self.due.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.happen(due);
        }
        self.tally
    }

    fn plan(&mut self, after: Duration, due: Due) {
        self.sequence += 1;
        self.due
            .push(Reverse((self.now + after, self.sequence, due)));
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrival => self.arrive(),
            Due::Reports => self.report(),
            Due::Wake(agent) => {
                let is_due = |at| at <= self.now;
                if self.machines[agent].next_wakeup().is_some_and(is_due) {
                    self.feed(agent, Event::Tick);
                }
            }
            Due::Done(agent, attempt) => {
                let head = UpstreamHead::new(200);
                self.feed(agent, Event::UpstreamHead { attempt, head });
                self.feed(agent, Event::UpstreamEnded { attempt });
            }
            Due::Failed(agent, attempt) => {
                let sent = true;
                self.feed(agent, Event::UpstreamFailed { attempt, sent });
            }
            Due::Closed(agent, attempt) => self.feed(agent, Event::UpstreamClosed { attempt }),
            Due::AtPeer {
                to,
                from,
                attempt,
                left,
            } => {
                let asker = Asker::Peer {
                    agent: from,
                    attempt,
                };
                let head = RequestHead::new(Method::Get, "/").origin(Origin::Peer);
                self.enter(to, asker, head.time_left(left));
            }
            Due::PeerAnswer {
                to,
                attempt,
                outcome,
            } => self.peer_answer(to, attempt, outcome),
        }
    }

    fn arrive(&mut self) {
        let slots = f64::from(self.load.policy.slots) * f64::from(self.load.agents);
        let per_second = slots / self.load.mean_service.as_secs_f64();
        let rate = per_second * f64::from(self.load.offered_percent) / 100.0;
        let gap = self.exponential(1.0 / rate);
        self.plan(gap, Due::Arrival);
        self.tally.requests += 1;
        let agent = self.rng.random_range(0..self.machines.len());
        let asker = Asker::Caller { since: self.now };
        self.enter(agent, asker, RequestHead::new(Method::Get, "/"));
    }

    fn exponential(&mut self, mean_s: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean_s)
    }

    fn enter(&mut self, agent: usize, asker: Asker, head: RequestHead) {
        self.requests += 1;
        let request = RequestId::new(self.requests);
        self.askers.insert(request, asker);
        self.feed(agent, Event::Arrived { request, head });
    }

    fn report(&mut self) {
        self.plan(REPORT_EVERY, Due::Reports);
        let rooms: Vec<PeerCapacity> = self
            .machines
            .iter()
            .enumerate()
            .map(|(agent, machine)| PeerCapacity {
                control: control(agent),
                free_slots: machine.free_slots(),
            })
            .collect();
        for agent in 0..self.machines.len() {
            let mut peers = rooms.clone();
            peers.remove(agent);
            self.feed(agent, Event::PeersChanged { peers });
        }
    }

    fn peer_answer(&mut self, to: usize, attempt: Attempt, outcome: Outcomes) {
        let (status, outcome) = match outcome {
            Outcomes::Ran => (200, Outcome::Ran),
            Outcomes::NotRun => (503, Outcome::NotRun),
            Outcomes::Unknown => (502, Outcome::Unknown),
        };
        let head = UpstreamHead::new(status).outcome(outcome);
        self.feed(to, Event::UpstreamHead { attempt, head });
        self.feed(to, Event::UpstreamEnded { attempt });
    }

    fn feed(&mut self, agent: usize, event: Event) {
        let actions = self.machines[agent].handle(event, self.now);
        for action in actions {
            self.act(agent, action);
        }
        if let Some(at) = self.machines[agent].next_wakeup() {
            self.plan(at.since(self.now), Due::Wake(agent));
        }
    }

    fn act(&mut self, agent: usize, action: Action) {
        match action {
            Action::Connect { attempt } => self.feed(agent, Event::Connected { attempt }),
            Action::Send { attempt, .. } => {
                self.tally.attempts += 1;
                if agent < usize::from(self.load.failing) {
                    self.tally.wasted += 1;
                    self.plan(CLOSE_AFTER, Due::Failed(agent, attempt));
                } else {
                    let work = self.exponential(self.load.mean_service.as_secs_f64());
                    self.plan(work, Due::Done(agent, attempt));
                }
            }
            Action::PassOn {
                attempt,
                peer,
                time_left,
            } => {
                let to = usize::from(peer.port());
                let left = time_left.saturating_sub(HOP);
                self.plan(
                    HOP,
                    Due::AtPeer {
                        to,
                        from: agent,
                        attempt,
                        left,
                    },
                );
            }
            Action::Cancel { attempt } => {
                if !matches!(self.askers.get(&attempt.request), Some(Asker::Peer { .. })) {
                    self.tally.wasted += 1;
                }
                self.plan(CLOSE_AFTER, Due::Closed(agent, attempt));
            }
            Action::Finish { request } => self.end(request, Outcomes::Ran),
            Action::Answer { request, answer } => self.end(request, order(answer.outcome)),
            Action::Abort { request } => self.end(request, Outcomes::Unknown),
            Action::Relay { .. } | Action::HandOver { .. } => {}
        }
    }

    fn end(&mut self, request: RequestId, outcome: Outcomes) {
        match self.askers.remove(&request) {
            Some(Asker::Caller { since }) => {
                let after = self.now.since(since);
                match outcome {
                    Outcomes::Ran => return self.tally.answer(after),
                    Outcomes::NotRun => self.tally.not_run += 1,
                    Outcomes::Unknown => self.tally.unknown += 1,
                }
                self.tally.refuse(after);
            }
            Some(Asker::Peer { agent, attempt }) => {
                self.plan(
                    HOP,
                    Due::PeerAnswer {
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

const fn order(outcome: Outcome) -> Outcomes {
    match outcome {
        Outcome::Ran => Outcomes::Ran,
        Outcome::NotRun => Outcomes::NotRun,
        Outcome::Unknown => Outcomes::Unknown,
    }
}

fn control(agent: usize) -> SocketAddrV4 {
    let port = u16::try_from(agent).expect("a fleet has few agents");
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
