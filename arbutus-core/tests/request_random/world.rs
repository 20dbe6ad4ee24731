//! Agents, callers and backend servers, joined by messages that arrive in any order or never.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use arbutus_core::{
    config::{Balance, RequestPolicy},
    ident::{Incarnation, ServiceTag},
    keys::{KeyRing, SystemKey},
    request::{
        Action, AgentIdentity, Attempt, Event, Method, Origin, Outcome, PeerRoom, RequestHead,
        RequestId, RequestMachine, UpstreamHead,
    },
    time::Timestamp,
};

use crate::{
    journal::{Call, CallId, Journal, Life},
    step::{Shape, Step},
};

const KEYS: usize = 4;
const DEADLINE_MS: u64 = 2_000;
const BINDING_MS: u64 = 4_000;

/// Where an agent's answer goes.
#[derive(Debug, Clone, Copy)]
enum Asker {
    Caller,
    Peer(Life, Attempt),
}

/// Something on its way.
#[derive(Debug, Clone)]
enum Flight {
    /// A request to an agent.
    Request {
        to: usize,
        call: CallId,
        asker: Asker,
    },
    /// A wish for a connection to the backend server.
    Connect { life: Life, attempt: Attempt },
    /// A request's bytes at the backend server.
    AtBackend {
        life: Life,
        attempt: Attempt,
        call: CallId,
    },
    /// A response that the backend server holds back.
    LateAnswer { life: Life, attempt: Attempt },
    /// A connection that is being closed.
    Closing { life: Life, attempt: Attempt },
    /// An answer to a caller.
    Answer {
        call: CallId,
        outcome: Outcome,
        offer: Option<String>,
    },
    /// A peer's answer to an agent.
    PeerAnswer {
        to: Life,
        attempt: Attempt,
        head: UpstreamHead,
        whole: bool,
    },
    /// A peer's stream that was reset.
    Reset { to: Life, request: RequestId },
}

#[derive(Debug)]
struct Agent {
    life: Life,
    machine: RequestMachine,
    started: Timestamp,
    paused: bool,
    stopping: bool,
    /// The call that a request belongs to, and who asked.
    requests: BTreeMap<RequestId, (CallId, Asker)>,
}

/// What a caller holds for a key.
#[derive(Debug, Clone, Default)]
struct Hold {
    token: Option<String>,
}

#[derive(Debug)]
pub struct World {
    shape: Shape,
    now: Timestamp,
    agents: Vec<Option<Agent>>,
    lives: u32,
    requests: u64,
    flights: Vec<Flight>,
    holds: Vec<Hold>,
    /// Callers' open attempts, oldest first.
    open_calls: Vec<(Life, RequestId)>,
    journal: Journal,
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

    fn start(&mut self, place: usize) {
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
            Balance::Spread
        } else {
            Balance::Stay
        };
        let keys = Arc::new(KeyRing::single(SystemKey::derive(&[3; 32])));
        let seed = u64::from(self.lives);
        let machine = RequestMachine::new(identity, policy, balance, keys, seed, Timestamp::ZERO)
            .keys_max(self.shape.keys_max);
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
            assert_eq!(agent.machine.in_hand(), 0, "an agent kept a slot");
            assert!(agent.machine.is_idle());
        }
    }

    fn call(&mut self, place: usize, key: Option<usize>, token: Option<String>) {
        let call = self.journal.calls.len();
        self.journal.calls.push(Call { key, token });
        let asker = Asker::Caller;
        self.flights.push(Flight::Request {
            to: place,
            call,
            asker,
        });
    }

    fn cancel(&mut self, which: usize) {
        if self.open_calls.is_empty() {
            return;
        }
        let (life, request) = self.open_calls.swap_remove(which % self.open_calls.len());
        self.flights.push(Flight::Reset { to: life, request });
    }

    fn advance(&mut self, by: Duration) {
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

    fn wakeup(&self, place: usize) -> Option<Timestamp> {
        let agent = self.agents[place].as_ref().filter(|agent| !agent.paused)?;
        let at = agent.machine.next_wakeup()?;
        Some(agent.started + at.since(Timestamp::ZERO))
    }

    fn kill(&mut self, place: usize) {
        if let Some(agent) = self.agents[place].take() {
            self.journal.bury(agent.life);
        }
    }

    fn set_paused(&mut self, place: usize, paused: bool) {
        if let Some(agent) = self.agents[place].as_mut() {
            agent.paused = paused;
        }
        if !paused {
            self.feed(place, Event::Tick);
        }
    }

    fn peers_tell(&mut self, place: usize) {
        let others = (0..self.agents.len()).filter(|other| *other != place);
        let peers = others
            .map(|other| PeerRoom {
                control: control_of(other),
                free_slots: 1,
            })
            .collect();
        self.feed(place, Event::PeersChanged { peers });
    }

    fn live(&mut self, place: usize) -> Option<&mut Agent> {
        self.agents[place].as_mut().filter(|agent| !agent.paused)
    }

    fn is_live(&self, life: Life) -> bool {
        self.agents[life.place]
            .as_ref()
            .is_some_and(|agent| agent.life == life && !agent.paused)
    }

    fn is_dead(&self, life: Life) -> bool {
        self.agents[life.place]
            .as_ref()
            .is_none_or(|agent| agent.life != life)
    }

    fn duplicate(&mut self, which: usize) {
        if self.flights.is_empty() {
            return;
        }
        let flight = self.flights[which % self.flights.len()].clone();
        // A stream carries a request once; only what has a key is sent again by its sender.
        if let Flight::Request { call, .. } = flight
            && self.journal.calls[call].key.is_some()
        {
            self.deliver(flight, 0);
        }
    }

    fn lose(&mut self, which: usize, sent: bool) {
        if self.flights.is_empty() {
            return;
        }
        let at = which % self.flights.len();
        match self.flights[at].clone() {
            Flight::Answer { .. } | Flight::Reset { .. } => {
                self.flights.swap_remove(at);
            }
            Flight::Request {
                asker: Asker::Peer(from, attempt),
                call,
                ..
            } => {
                let read = self.journal.calls[call].key.is_none();
                if !sent && read {
                    self.flights.swap_remove(at);
                }
                self.upstream(from, attempt, Event::UpstreamFailed { attempt, sent });
            }
            Flight::PeerAnswer { to, attempt, .. } => {
                self.flights.swap_remove(at);
                self.upstream(
                    to,
                    attempt,
                    Event::UpstreamFailed {
                        attempt,
                        sent: true,
                    },
                );
            }
            _ => {}
        }
    }

    fn deliver(&mut self, flight: Flight, how: u8) {
        match flight {
            Flight::Request { to, call, asker } => self.deliver_request(to, call, asker),
            Flight::Connect { life, attempt } => {
                let event = match how % 4 {
                    0 => Event::UpstreamFailed {
                        attempt,
                        sent: false,
                    },
                    _ => Event::Connected { attempt },
                };
                self.upstream(life, attempt, event);
            }
            Flight::AtBackend {
                life,
                attempt,
                call,
            } => {
                self.deliver_to_backend(life, attempt, call, how);
            }
            Flight::LateAnswer { life, attempt } => self.respond(life, attempt, how % 3 == 0),
            Flight::Closing { life, attempt } => {
                self.upstream(life, attempt, Event::UpstreamClosed { attempt });
            }
            Flight::Answer {
                call,
                outcome,
                offer,
            } => self.deliver_answer(call, outcome, offer),
            Flight::PeerAnswer {
                to,
                attempt,
                head,
                whole,
            } => {
                self.upstream(to, attempt, Event::UpstreamHead { attempt, head });
                let end = if whole {
                    Event::UpstreamEnded { attempt }
                } else {
                    Event::UpstreamFailed {
                        attempt,
                        sent: true,
                    }
                };
                self.upstream(to, attempt, end);
            }
            Flight::Reset { to, request } => {
                if self.is_live(to) {
                    self.feed(to.place, Event::CallerCancelled { request });
                }
            }
        }
    }

    fn deliver_request(&mut self, to: usize, call: CallId, asker: Asker) {
        let flight = Flight::Request { to, call, asker };
        let Some(agent) = self.agents[to].as_mut() else {
            if let Asker::Peer(from, attempt) = asker {
                self.upstream(
                    from,
                    attempt,
                    Event::UpstreamFailed {
                        attempt,
                        sent: false,
                    },
                );
            }
            return;
        };
        if agent.paused {
            self.flights.push(flight);
            return;
        }
        self.requests += 1;
        let request = RequestId::new(self.requests);
        let Call { key, token } = self.journal.calls[call].clone();
        let mut head = match key {
            Some(key) => {
                RequestHead::new(Method::Other, "/confirm").idempotency_key(&format!("key {key}"))
            }
            None => RequestHead::new(Method::Get, "/codes"),
        };
        if let Some(token) = token {
            head = head.binding(&token);
        }
        match asker {
            Asker::Caller => self.open_calls.push((agent.life, request)),
            Asker::Peer(..) => head = head.origin(Origin::Peer),
        }
        agent.requests.insert(request, (call, asker));
        let deadline = self.now + Duration::from_millis(DEADLINE_MS);
        self.journal.arrive(agent.life, request, deadline);
        self.feed(to, Event::Arrived { request, head });
    }

    fn deliver_to_backend(&mut self, life: Life, attempt: Attempt, call: CallId, how: u8) {
        match how % 8 {
            // It sheds the request.
            0 => {
                let head = UpstreamHead::new(503).outcome(Outcome::NotRun);
                self.upstream(life, attempt, Event::UpstreamHead { attempt, head });
            }
            // The connection proves broken before the first byte.
            1 => {
                let event = Event::UpstreamFailed {
                    attempt,
                    sent: false,
                };
                self.upstream(life, attempt, event);
            }
            // It breaks, and the backend server runs the request all the same, later.
            2 => {
                let event = Event::UpstreamFailed {
                    attempt,
                    sent: true,
                };
                self.flights.push(Flight::AtBackend {
                    life,
                    attempt,
                    call,
                });
                self.upstream(life, attempt, event);
            }
            // It runs, but the answer is late.
            3 => {
                self.journal.run(call);
                self.flights.push(Flight::LateAnswer { life, attempt });
            }
            // It runs and answers short.
            4 => {
                self.journal.run(call);
                self.respond(life, attempt, false);
            }
            _ => {
                self.journal.run(call);
                self.respond(life, attempt, true);
            }
        }
    }

    fn respond(&mut self, life: Life, attempt: Attempt, whole: bool) {
        let head = UpstreamHead::new(200);
        self.upstream(life, attempt, Event::UpstreamHead { attempt, head });
        let end = if whole {
            Event::UpstreamEnded { attempt }
        } else {
            Event::UpstreamFailed {
                attempt,
                sent: true,
            }
        };
        self.upstream(life, attempt, end);
    }

    /// A caller takes the offered binding only if its current one was told not to have run.
    fn deliver_answer(&mut self, call: CallId, outcome: Outcome, offer: Option<String>) {
        let Call { key, token } = self.journal.calls[call].clone();
        let Some(key) = key else { return };
        let hold = &mut self.holds[key];
        if outcome == Outcome::NotRun && hold.token == token {
            hold.token = offer;
        }
    }

    /// Feeds an event about an attempt to the process that made it, if it is still there.
    fn upstream(&mut self, life: Life, attempt: Attempt, event: Event) {
        if self.is_dead(life) {
            return;
        }
        if let Some(agent) = self.agents[life.place].as_mut() {
            // A paused process wakes and finds this in its sockets first.
            agent.paused = false;
        }
        let freed = matches!(
            event,
            Event::UpstreamEnded { .. }
                | Event::UpstreamFailed { .. }
                | Event::UpstreamClosed { .. }
        );
        if freed {
            self.journal.free_slot(life, attempt);
        }
        self.feed(life.place, event);
    }

    fn feed(&mut self, place: usize, event: Event) {
        let now = self.now;
        let Some(agent) = self.live(place) else {
            return;
        };
        let life = agent.life;
        let local = Timestamp::ZERO + now.since(agent.started);
        let head_of = match &event {
            Event::UpstreamHead { attempt, .. } => Some(*attempt),
            _ => None,
        };
        let ended = match &event {
            Event::UpstreamEnded { attempt } => Some(attempt.request),
            _ => None,
        };
        let arrived = match &event {
            Event::Arrived { request, .. } => Some(*request),
            _ => None,
        };
        let cancelled = match &event {
            Event::CallerCancelled { request } => Some(*request),
            _ => None,
        };
        let actions = agent.machine.handle(event, local);
        let counters = agent.machine.counters();
        assert_eq!(
            counters.invariant_violations, 0,
            "an invariant inside the machine broke"
        );
        let refuses = agent.stopping;
        for action in actions {
            if let Action::Connect { attempt } = action {
                assert!(
                    !refuses || arrived != Some(attempt.request),
                    "admitted after stop"
                );
            }
            if let Action::Finish { request } = &action {
                assert_eq!(ended, Some(*request), "a short response ended cleanly");
            }
            if let Action::Relay { attempt, .. } = &action {
                assert_eq!(head_of, Some(*attempt), "a response met another request");
            }
            self.act(life, action);
        }
        if let Some(request) = cancelled {
            self.journal.cancel(life, request);
        }
        self.journal.check_deadlines(life, now);
        let agent = self.agents[place].as_ref().unwrap();
        let held = self.journal.slots_held(life);
        assert_eq!(
            agent.machine.in_hand() as usize,
            held,
            "slots are miscounted"
        );
    }

    fn act(&mut self, life: Life, action: Action) {
        let asked =
            |world: &Self, request| world.agents[life.place].as_ref().unwrap().requests[&request];
        match action {
            Action::Connect { attempt } => {
                self.journal.take_slot(life, attempt, self.shape.slots);
                self.flights.push(Flight::Connect { life, attempt });
            }
            Action::Send { attempt, .. } => {
                let (call, _) = asked(self, attempt.request);
                self.flights.push(Flight::AtBackend {
                    life,
                    attempt,
                    call,
                });
            }
            Action::HandOver { attempt, peer, .. } | Action::PassOn { attempt, peer, .. } => {
                let (call, _) = asked(self, attempt.request);
                let to = usize::from(peer.port() - 6_000);
                let asker = Asker::Peer(life, attempt);
                self.flights.push(Flight::Request { to, call, asker });
            }
            Action::Relay { attempt, .. } => {
                let (call, asker) = asked(self, attempt.request);
                if let Asker::Caller = asker {
                    self.journal.tell(call, Outcome::Ran);
                }
            }
            Action::Finish { request } | Action::Abort { request } => {
                let whole = matches!(action, Action::Finish { .. });
                self.journal.settle(life, request);
                let (call, asker) = asked(self, request);
                let head = UpstreamHead::new(200).outcome(Outcome::Ran);
                self.reply(call, asker, head, whole, None);
            }
            Action::Answer { request, answer } => {
                self.journal.settle(life, request);
                let (call, asker) = asked(self, request);
                if let Asker::Caller = asker {
                    self.journal.tell(call, answer.outcome);
                }
                let head = UpstreamHead::new(answer.status).outcome(answer.outcome);
                let offer = answer.offer.as_deref().map(str::to_owned);
                self.reply(call, asker, head, true, offer);
            }
            Action::Cancel { attempt } => {
                self.flights.push(Flight::Closing { life, attempt });
                self.reset_at_peer(life, attempt);
            }
        }
    }

    fn reset_at_peer(&mut self, life: Life, attempt: Attempt) {
        let from_here =
            |asker: &Asker| matches!(asker, Asker::Peer(of, at) if (*of, *at) == (life, attempt));
        for agent in self.agents.iter().flatten() {
            let asked = agent
                .requests
                .iter()
                .find(|(_, (_, asker))| from_here(asker));
            if let Some((request, _)) = asked {
                self.flights.push(Flight::Reset {
                    to: agent.life,
                    request: *request,
                });
            }
        }
    }

    fn reply(
        &mut self,
        call: CallId,
        asker: Asker,
        head: UpstreamHead,
        whole: bool,
        offer: Option<String>,
    ) {
        match asker {
            Asker::Caller => {
                let outcome = head.outcome.unwrap();
                self.flights.push(Flight::Answer {
                    call,
                    outcome,
                    offer,
                });
            }
            Asker::Peer(to, attempt) => {
                self.flights.push(Flight::PeerAnswer {
                    to,
                    attempt,
                    head,
                    whole,
                });
            }
        }
    }
}
