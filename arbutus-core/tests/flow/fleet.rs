use std::{net::SocketAddrV4, sync::Arc};

use arbutus_core::{
    flow::{Action, Admission, Event, FirstPacket, FlowAdmission, FlowKey, FlowLimits, FlowPolicy},
    ident::{Incarnation, ServiceTag},
    roster::{AgentRecord, AgentState},
    time::Timestamp,
    tunnel::{Candidates, Endpoints, TunnelHeader},
};

/// Number of visited agents from which a flow is considered to loop.
const MAX_VISITS: usize = 10;

/// Agents of one service, connected by links that carry reports immediately or not at all.
pub struct Fleet {
    pub agents: Vec<FlowAdmission>,
    pub now: Timestamp,
    /// Whether the links carry reports.
    pub links_up: bool,
    /// Output lines for [`Action::Close`] and [`Action::Drained`].
    pub notes: Vec<String>,
}

/// The agents that a flow visited, and the decision of the last one.
#[derive(Debug, PartialEq, Eq)]
pub struct FlowPath {
    pub agents: Vec<usize>,
    pub admission: Admission,
}

impl Fleet {
    pub fn new(agents: usize, limits: FlowLimits, policy: FlowPolicy) -> Self {
        let now = Timestamp::from_millis(1_000);
        let machine = |index| {
            let incarnation = Incarnation::new(1);
            FlowAdmission::new(tunnel(index), tag(), incarnation, limits, policy, now)
        };
        let mut fleet = Self {
            agents: (0..agents).map(machine).collect(),
            now,
            links_up: false,
            notes: Vec::new(),
        };
        for agent in 0..agents {
            fleet.set_roster(agent, |_| AgentState::Ready);
        }
        fleet.links_up = true;
        fleet
    }

    /// Gives `agent` a roster in which each agent has the state returned by `state`.
    pub fn set_roster(&mut self, agent: usize, state: impl Fn(usize) -> AgentState) {
        let records = (0..self.agents.len()).map(|index| record(index, state(index)));
        self.feed(agent, Event::Peers(records.collect()));
    }

    pub fn feed(&mut self, agent: usize, event: Event) {
        let actions = self.agents[agent].handle(event, self.now);
        for action in actions {
            self.act(agent, action);
        }
    }

    fn act(&mut self, agent: usize, action: Action) {
        match action {
            Action::Report { tunnel, report, .. } if self.links_up => {
                self.feed(index(tunnel), Event::Report(report));
            }
            Action::Report { .. } => {}
            Action::Close(_) => self.notes.push(format!("{} closes", name(agent))),
            Action::Drained => self.notes.push(format!("{} drained", name(agent))),
        }
    }

    /// Advances time and delivers the wakeups that the agents request.
    pub fn run_until(&mut self, end: Timestamp) {
        loop {
            let wakeups = self.agents.iter().map(FlowAdmission::next_wakeup);
            let due = wakeups.enumerate().map(|(agent, at)| (at, agent)).min();
            let Some((at, agent)) = due.filter(|(at, _)| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            self.feed(agent, Event::Tick);
        }
        self.now = end;
    }

    /// Gives `agent` a first packet of a flow.
    pub fn send_first(&mut self, agent: usize, flow: u64, header: TunnelHeader) -> Admission {
        let packet = FirstPacket {
            header,
            dcid: &flow.to_be_bytes(),
            full_size: true,
        };
        self.agents[agent].on_first_packet(&packet, self.now)
    }

    /// Sends the first packet of a flow to the first of `candidates` and follows it to the final
    /// decision.
    pub fn follow(&mut self, flow: u64, candidates: &[usize]) -> FlowPath {
        let mut header = header(&candidates[1..], 0);
        let mut agents = vec![candidates[0]];
        loop {
            let agent = agents[agents.len() - 1];
            match self.send_first(agent, flow, header) {
                Admission::PassOn(hop) => {
                    header = hop.header;
                    agents.push(index(hop.to));
                    assert!(agents.len() <= MAX_VISITS, "a flow loops: {agents:?}");
                }
                admission => return FlowPath { agents, admission },
            }
        }
    }
}

pub fn tag() -> ServiceTag {
    ServiceTag::of_name("lookup")
}

pub fn name(agent: usize) -> char {
    char::from(b'a' + u8::try_from(agent).expect("few agents"))
}

pub fn tunnel(agent: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, u8::try_from(agent).expect("few")].into(), 4_000)
}

pub fn index(tunnel: SocketAddrV4) -> usize {
    usize::from(tunnel.ip().octets()[3])
}

pub fn caller() -> SocketAddrV4 {
    SocketAddrV4::new([198, 51, 100, 7].into(), 5_000)
}

pub fn key(flow: u64) -> FlowKey {
    FlowKey::new(caller(), &flow.to_be_bytes()).expect("a valid length")
}

pub fn header(candidates: &[usize], hops: u8) -> TunnelHeader {
    let endpoints = Endpoints {
        source: caller(),
        destination: SocketAddrV4::new([192, 0, 2, 1].into(), 443),
    };
    let candidates: Candidates = candidates.iter().map(|agent| tunnel(*agent)).collect();
    TunnelHeader::new(endpoints, tag())
        .candidates(candidates)
        .hops(hops)
}

fn record(agent: usize, state: AgentState) -> AgentRecord {
    AgentRecord {
        tunnel: tunnel(agent),
        control: tunnel(agent),
        name: Arc::from(name(agent).to_string()),
        admin_port: 0,
        failure_domain: Arc::from("mvd-a"),
        tag: tag(),
        incarnation: Incarnation::new(1),
        version: 1,
        state,
        weight_percent: 100,
    }
}
