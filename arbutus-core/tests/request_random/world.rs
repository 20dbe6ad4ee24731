//! Agents, callers and backend servers, connected by messages that arrive in any order or never.

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
    in_flight::{InFlight, Sender},
    journal::{Call, CallId, Journal, ProcessId},
    step::{Shape, Step},
};

pub const DEADLINE_MS: u64 = 2_000;
const KEYS: usize = 4;
const BINDING_MS: u64 = 4_000;

#[derive(Debug)]
pub struct Agent {
    pub process: ProcessId,
    pub machine: RequestMachine,
    pub started: Timestamp,
    pub paused: bool,
    pub stopping: bool,
    /// The call and the sender of each request.
    pub requests: BTreeMap<RequestId, (CallId, Sender)>,
}

/// A caller's state of a key.
#[derive(Debug, Clone, Default)]
pub struct CallerState {
    /// The token of the current binding.
    pub token: Option<String>,
}

#[derive(Debug)]
pub struct World {
    pub shape: Shape,
    pub now: Timestamp,
    pub agents: Vec<Option<Agent>>,
    pub processes_started: u32,
    pub requests: u64,
    pub in_flight: Vec<InFlight>,
    pub caller_states: Vec<CallerState>,
    /// Callers' attempts that have not been cancelled.
    pub open_calls: Vec<(ProcessId, RequestId)>,
    pub journal: Journal,
}

fn control_of(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(
        Ipv4Addr::new(10, 0, 0, 1),
        6_000 + u16::try_from(index).unwrap(),
    )
}

impl World {
    pub fn new(shape: &Shape) -> Self {
        let mut world = Self {
            shape: shape.clone(),
            now: Timestamp::from_millis(1),
            agents: Vec::new(),
            processes_started: 0,
            requests: 0,
            in_flight: Vec::new(),
            caller_states: vec![CallerState::default(); KEYS],
            open_calls: Vec::new(),
            journal: Journal::default(),
        };
        for index in 0..shape.agents {
            world.agents.push(None);
            world.start(index);
        }
        world
    }

    pub(crate) fn start(&mut self, index: usize) {
        self.processes_started += 1;
        let control = control_of(index);
        let incarnation = if self.shape.reuses_incarnation {
            7
        } else {
            u64::from(self.processes_started)
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
        let seed = u64::from(self.processes_started);
        let machine = RequestMachine::new(identity, policy, balance, keys, seed, Timestamp::ZERO)
            .max_remembered_keys(self.shape.max_remembered_keys);
        self.agents[index] = Some(Agent {
            process: ProcessId {
                index,
                number: self.processes_started,
            },
            machine,
            started: self.now,
            paused: false,
            stopping: false,
            requests: BTreeMap::new(),
        });
    }

    pub fn apply(&mut self, step: &Step) {
        let count = self.agents.len();
        match *step {
            Step::Call { agent, key } => {
                let token = self.caller_states[key % KEYS].token.clone();
                self.call(agent % count, Some(key % KEYS), token);
            }
            Step::CallUnbound { agent, key } => self.call(agent % count, Some(key % KEYS), None),
            Step::Read { agent } => self.call(agent % count, None, None),
            Step::Cancel { which } => self.cancel(which),
            Step::Deliver { which, how } => {
                if !self.in_flight.is_empty() {
                    let message = self.in_flight.swap_remove(which % self.in_flight.len());
                    self.deliver(message, how);
                }
            }
            Step::Duplicate { which } => self.duplicate(which),
            Step::Lose { which, sent } => self.lose(which, sent),
            Step::Advance { millis } => self.advance(Duration::from_millis(millis)),
            Step::Kill { agent } => self.kill(agent % count),
            Step::Restart { agent } => {
                self.kill(agent % count);
                self.start(agent % count);
            }
            Step::Pause { agent } => self.set_paused(agent % count, true),
            Step::Wake { agent } => self.set_paused(agent % count, false),
            Step::Drain { agent, draining } => {
                self.feed(agent % count, Event::DrainChanged { draining });
            }
            Step::Stop { agent, now } => {
                if let Some(agent) = self.running(agent % count) {
                    agent.stopping = true;
                }
                let event = if now {
                    Event::StopDeadline
                } else {
                    Event::StopBegan
                };
                self.feed(agent % count, event);
            }
            Step::ReportPeers { agent } => self.report_peers(agent % count),
        }
    }

    /// Ends the run: advances time and checks that every agent has settled all requests.
    pub fn settle(&mut self) {
        for index in 0..self.agents.len() {
            self.set_paused(index, false);
        }
        self.advance(Duration::from_millis(DEADLINE_MS + 1));
        while let Some(message) = self.in_flight.pop() {
            if let InFlight::Closing { .. } | InFlight::AtBackend { .. } = message {
                self.deliver(message, 0);
            }
        }
        for agent in self.agents.iter().flatten() {
            assert_eq!(
                self.journal.open_of(agent.process),
                0,
                "an agent has unsettled requests"
            );
            assert_eq!(
                agent.machine.slots_in_use(),
                0,
                "an agent has not freed a slot"
            );
            assert!(agent.machine.is_idle());
        }
    }

    pub(crate) fn call(&mut self, index: usize, key: Option<usize>, token: Option<String>) {
        let call = self.journal.calls.len();
        self.journal.calls.push(Call { key, token });
        let sender = Sender::Caller;
        self.in_flight.push(InFlight::Request {
            to: index,
            call,
            sender,
        });
    }

    pub(crate) fn cancel(&mut self, which: usize) {
        if self.open_calls.is_empty() {
            return;
        }
        let (process, request) = self.open_calls.swap_remove(which % self.open_calls.len());
        self.in_flight.push(InFlight::Reset {
            to: process,
            request,
        });
    }

    pub(crate) fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        // Paused agents get no wakeups.
        loop {
            let next = (0..self.agents.len())
                .filter_map(|index| Some((self.wakeup(index)?, index)))
                .filter(|(at, _)| *at <= end)
                .min();
            let Some((at, index)) = next else { break };
            self.now = self.now.max(at);
            self.feed(index, Event::Tick);
        }
        self.now = end;
        for agent in self.agents.iter().flatten().filter(|agent| !agent.paused) {
            self.journal.check_deadlines(agent.process, end);
        }
    }

    pub(crate) fn wakeup(&self, index: usize) -> Option<Timestamp> {
        let agent = self.agents[index].as_ref().filter(|agent| !agent.paused)?;
        let at = agent.machine.next_wakeup()?;
        Some(agent.started + at.since(Timestamp::ZERO))
    }

    pub(crate) fn kill(&mut self, index: usize) {
        if let Some(agent) = self.agents[index].take() {
            self.journal.remove_process(agent.process);
        }
    }

    pub(crate) fn set_paused(&mut self, index: usize, paused: bool) {
        if let Some(agent) = self.agents[index].as_mut() {
            agent.paused = paused;
        }
        if !paused {
            self.feed(index, Event::Tick);
        }
    }

    pub(crate) fn report_peers(&mut self, index: usize) {
        let others = (0..self.agents.len()).filter(|other| *other != index);
        let peers = others
            .map(|other| PeerCapacity {
                control: control_of(other),
                free_slots: 1,
            })
            .collect();
        self.feed(index, Event::PeersChanged { peers });
    }

    pub(crate) fn running(&mut self, index: usize) -> Option<&mut Agent> {
        self.agents[index].as_mut().filter(|agent| !agent.paused)
    }

    pub(crate) fn is_running(&self, process: ProcessId) -> bool {
        self.agents[process.index]
            .as_ref()
            .is_some_and(|agent| agent.process == process && !agent.paused)
    }

    pub(crate) fn is_dead(&self, process: ProcessId) -> bool {
        self.agents[process.index]
            .as_ref()
            .is_none_or(|agent| agent.process != process)
    }
}
