//! Agents, callers and backend servers, joined by messages that arrive in any order or never.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use arbutus_core::{
    config::{BalanceMode, RequestPolicy},
    ident::{Incarnation, ServiceTag},
    keys::{KeyRing, SystemKey},
    request::{AgentIdentity, Event, PeerCapacity, RequestId, RequestMachine},
    time::Timestamp,
};

use crate::{
    flight::{Asker, Flight},
    journal::{Call, CallId, Journal, Life},
    step::{Shape, Step},
};

pub const DEADLINE_MS: u64 = 2_000;
const KEYS: usize = 4;
const BINDING_MS: u64 = 4_000;

#[derive(Debug)]
pub struct Agent {
    pub life: Life,
    pub machine: RequestMachine,
    pub started: Timestamp,
    pub paused: bool,
    pub stopping: bool,
    /// The call that a request belongs to, and who asked.
    pub requests: BTreeMap<RequestId, (CallId, Asker)>,
}

/// What a caller holds for a key.
#[derive(Debug, Clone, Default)]
pub struct Hold {
    pub token: Option<String>,
}

#[derive(Debug)]
pub struct World {
    pub shape: Shape,
    pub now: Timestamp,
    pub agents: Vec<Option<Agent>>,
    pub lives: u32,
    pub requests: u64,
    pub flights: Vec<Flight>,
    pub holds: Vec<Hold>,
    /// Callers' open attempts, oldest first.
    pub open_calls: Vec<(Life, RequestId)>,
    pub journal: Journal,
}

fn control_of(place: usize) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::new(10, 0, 0, 1),
        6_000 + u16::try_from(place).unwrap(),
    )
}

impl World {
    pub fn new(shape: &Shape) -> Self {
        let mut world = Self {
            shape: shape.clone(),
            now: Timestamp::from_millis(1),
            agents: Vec::new(),
            lives: 0,
            requests: 0,
            flights: Vec::new(),
            holds: vec![Hold::default(); KEYS],
            open_calls: Vec::new(),
            journal: Journal::default(),
        };
        for place in 0..shape.agents {
            world.agents.push(None);
            world.start(place);
        }
        world
    }

    pub(crate) fn start(&mut self, place: usize) {
        self.lives += 1;
        let control = control_of(place);
        let incarnation = if self.shape.same_incarnation {
            7
        } else {
            u64::from(self.lives)
        };
        let identity = AgentIdentity {
            tunnel: SocketAddrV4::new(*control.ip(), control.port() - 1_000),
            control,
            tag: ServiceTag::of_name("lookup"),
            incarnation: Incarnation::new(incarnation),
        };
        let policy = RequestPolicy {
            slots: self.shape.slots,
            queue: self.shape.queue,
            deadline_ms: DEADLINE_MS,
            binding_ms: BINDING_MS,
            ..RequestPolicy::new()
        };
        let balance = if self.shape.spread {
            BalanceMode::Spread
        } else {
            BalanceMode::Stay
        };
        let keys = Arc::new(KeyRing::single(SystemKey::derive(&[3; 32])));
        let seed = u64::from(self.lives);
        let machine = RequestMachine::new(identity, policy, balance, keys, seed, Timestamp::ZERO)
            .max_remembered_keys(self.shape.keys_max);
        self.agents[place] = Some(Agent {
            life: Life {
                place,
                number: self.lives,
            },
            machine,
            started: self.now,
            paused: false,
            stopping: false,
            requests: BTreeMap::new(),
        });
    }

    pub fn apply(&mut self, step: &Step) {
        let places = self.agents.len();
        match *step {
            Step::Call { agent, key } => {
                let token = self.holds[key % KEYS].token.clone();
                self.call(agent % places, Some(key % KEYS), token);
            }
            Step::CallBare { agent, key } => self.call(agent % places, Some(key % KEYS), None),
            Step::Read { agent } => self.call(agent % places, None, None),
            Step::Cancel { which } => self.cancel(which),
            Step::Deliver { which, how } => {
                if !self.flights.is_empty() {
                    let flight = self.flights.swap_remove(which % self.flights.len());
                    self.deliver(flight, how);
                }
            }
            Step::Duplicate { which } => self.duplicate(which),
            Step::Lose { which, sent } => self.lose(which, sent),
            Step::Advance { millis } => self.advance(Duration::from_millis(millis)),
            Step::Kill { agent } => self.kill(agent % places),
            Step::Restart { agent } => {
                self.kill(agent % places);
                self.start(agent % places);
            }
            Step::Pause { agent } => self.set_paused(agent % places, true),
            Step::Wake { agent } => self.set_paused(agent % places, false),
            Step::Drain { agent, draining } => {
                self.feed(agent % places, Event::DrainChanged { draining });
            }
            Step::Stop { agent, now } => {
                if let Some(agent) = self.live(agent % places) {
                    agent.stopping = true;
                }
                let event = if now {
                    Event::StopDeadline
                } else {
                    Event::StopBegan
                };
                self.feed(agent % places, event);
            }
            Step::PeersTell { agent } => self.peers_tell(agent % places),
        }
    }

    /// Ends the run: time passes until every live agent has settled everything.
    pub fn settle(&mut self) {
        for place in 0..self.agents.len() {
            self.set_paused(place, false);
        }
        self.advance(Duration::from_millis(DEADLINE_MS + 1));
        while let Some(flight) = self.flights.pop() {
            if let Flight::Closing { .. } | Flight::AtBackend { .. } = flight {
                self.deliver(flight, 0);
            }
        }
        for agent in self.agents.iter().flatten() {
            assert_eq!(
                self.journal.open_of(agent.life),
                0,
                "an agent left requests open"
            );
            assert_eq!(agent.machine.slots_in_use(), 0, "an agent kept a slot");
            assert!(agent.machine.is_idle());
        }
    }

    pub(crate) fn call(&mut self, place: usize, key: Option<usize>, token: Option<String>) {
        let call = self.journal.calls.len();
        self.journal.calls.push(Call { key, token });
        let asker = Asker::Caller;
        self.flights.push(Flight::Request {
            to: place,
            call,
            asker,
        });
    }

    pub(crate) fn cancel(&mut self, which: usize) {
        if self.open_calls.is_empty() {
            return;
        }
        let (life, request) = self.open_calls.swap_remove(which % self.open_calls.len());
        self.flights.push(Flight::Reset { to: life, request });
    }

    pub(crate) fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        // Agents that run get their wake-ups; paused ones do not.
        loop {
            let next = (0..self.agents.len())
                .filter_map(|place| Some((self.wakeup(place)?, place)))
                .filter(|(at, _)| *at <= end)
                .min();
            let Some((at, place)) = next else { break };
            self.now = self.now.max(at);
            self.feed(place, Event::Tick);
        }
        self.now = end;
        for agent in self.agents.iter().flatten().filter(|agent| !agent.paused) {
            self.journal.check_deadlines(agent.life, end);
        }
    }

    pub(crate) fn wakeup(&self, place: usize) -> Option<Timestamp> {
        let agent = self.agents[place].as_ref().filter(|agent| !agent.paused)?;
        let at = agent.machine.next_wakeup()?;
        Some(agent.started + at.since(Timestamp::ZERO))
    }

    pub(crate) fn kill(&mut self, place: usize) {
        if let Some(agent) = self.agents[place].take() {
            self.journal.bury(agent.life);
        }
    }

    pub(crate) fn set_paused(&mut self, place: usize, paused: bool) {
        if let Some(agent) = self.agents[place].as_mut() {
            agent.paused = paused;
        }
        if !paused {
            self.feed(place, Event::Tick);
        }
    }

    pub(crate) fn peers_tell(&mut self, place: usize) {
        let others = (0..self.agents.len()).filter(|other| *other != place);
        let peers = others
            .map(|other| PeerCapacity {
                control: control_of(other),
                free_slots: 1,
            })
            .collect();
        self.feed(place, Event::PeersChanged { peers });
    }

    pub(crate) fn live(&mut self, place: usize) -> Option<&mut Agent> {
        self.agents[place].as_mut().filter(|agent| !agent.paused)
    }

    pub(crate) fn is_live(&self, life: Life) -> bool {
        self.agents[life.place]
            .as_ref()
            .is_some_and(|agent| agent.life == life && !agent.paused)
    }

    pub(crate) fn is_dead(&self, life: Life) -> bool {
        self.agents[life.place]
            .as_ref()
            .is_none_or(|agent| agent.life != life)
    }
}
