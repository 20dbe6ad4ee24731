use std::{net::SocketAddrV4, time::Duration};

use arbutus_core::{
    config::{ConfigVersion, Service, Snapshot},
    flow::{Action, Event, FlowKey, FlowLimits, FlowPolicy},
    keys::{KeyRing, SystemKey},
    roster::AgentState,
    route::{self, ForwardingDecision, RouteTable},
    time::Timestamp,
    tunnel::{Endpoints, TunnelHeader},
};
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Fault, Outcome, Scenario, Spread, Strategy, Workload,
    node::{self, Node, Work},
    outcome::Meter,
    timeline::{Step, Timeline},
};

const WITHIN_DOMAIN: Duration = Duration::from_micros(300);
const CALLER_TO_BALANCER: Duration = Duration::from_millis(3);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// How long balancers go on with the old roster after a drain or a death.
const ROSTER_DELAY: Duration = Duration::from_secs(3);
/// When a caller sends its first packet again.
const CALLER_RETRY: Duration = Duration::from_secs(1);
const COLD_TIME: Duration = Duration::from_secs(5);
const COLD_FACTOR: f64 = 4.0;
const SLOW_FACTOR: f64 = 3.0;
const LYING_SHED: f64 = 0.5;
const CREDIT_BYTES: u64 = 24;
const SERVICE_PORT: u16 = 443;
const INITIAL_BYTES: usize = 1_200;
const DCID_BYTES: usize = 8;

/// One flow of a caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flow {
    pub(super) key: FlowKey,
    pub(super) header: TunnelHeader,
    pub(super) opened: Timestamp,
    pub(super) node: usize,
    /// Requests that are still to be made.
    pub(super) left: u32,
    pub(super) held: bool,
}

/// A run in progress.
pub(super) struct Fleet {
    pub(super) scenario: Scenario,
    pub(super) now: Timestamp,
    pub(super) nodes: Vec<Node>,
    pub(super) flows: Vec<Flow>,
    pub(super) timeline: Timeline,
    pub(super) meter: Meter,
    /// Choices of the ways themselves.
    pub(super) rng: ChaCha8Rng,
    /// Arrivals, which are the same for every way of placing them.
    arrivals: ChaCha8Rng,
    service: Service,
    table: RouteTable,
    keys: KeyRing,
    initial: Vec<u8>,
}

/// Runs a scenario to its end.
///
/// # Panics
///
/// Panics where the scenario has no backend server.
#[must_use]
pub fn run(scenario: &Scenario) -> Outcome {
    let mut fleet = Fleet::new(*scenario);
    let end = Timestamp::ZERO + scenario.length;
    while let Some((at, step)) = fleet.timeline.pop() {
        if at > end {
            break;
        }
        fleet.now = at;
        fleet.step(step);
    }
    fleet.outcome()
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let limits = FlowLimits::new()
            .slots(scenario.slots)
            .queue(scenario.queue);
        let policy = match scenario.strategy {
            Strategy::Reports { policy, .. } => policy,
            _ => FlowPolicy::new(),
        };
        let start = Timestamp::ZERO;
        let mut nodes: Vec<_> = (0..scenario.servers)
            .map(|index| Node::new(index, scenario.domains, limits, policy, start))
            .collect();
        if scenario.fault == Fault::Cold {
            nodes[0].alive = false;
            nodes[0].listed = AgentState::Gone;
        }
        let address = SocketAddrV4::new([192, 0, 2, 1].into(), SERVICE_PORT);
        let mut initial = vec![0; INITIAL_BYTES];
        initial[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
        let mut fleet = Self {
            scenario,
            now: start,
            nodes,
            flows: Vec::new(),
            timeline: Timeline::default(),
            meter: Meter::new(),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            arrivals: ChaCha8Rng::seed_from_u64(scenario.seed.wrapping_add(1)),
            service: Service::new("measured", address),
            table: RouteTable::new(),
            keys: KeyRing::single(SystemKey::derive(&[1; SystemKey::SECRET_BYTES])),
            initial,
        };
        fleet.learn();
        fleet.timeline.push(start, Step::Open);
        fleet.timeline.push(start, Step::Sample);
        let middle = start + scenario.length / 2;
        fleet.timeline.push(middle, Step::Fault);
        fleet
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Open => self.open_flow(),
            Step::First { node, flow } => self.first_packet(node, flow),
            Step::Request { flow } => self.request(flow),
            Step::Hand { node, work } => self.take_handed(node, work),
            Step::Done { node, work } => self.done(node, work),
            Step::Report { node, report } => self.tell(node, Event::Report(report)),
            Step::Credit { node, from } => self.take_credit(node, from),
            Step::Wake { node } => self.wake(node),
            Step::Sample => self.sample(),
            Step::Fault => self.strike(),
            Step::Learn => self.learn(),
        }
    }

    /// Whether figures count yet.
    pub(super) fn is_measured(&self) -> bool {
        self.now >= Timestamp::ZERO + self.scenario.length / 10
    }

    pub(super) fn after(&self, delay: Duration) -> Timestamp {
        self.now + delay
    }

    pub(super) fn between(&self, from: usize, to: usize) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        self.way(self.nodes[from].domain, self.nodes[to].domain)
    }

    fn way(&self, from: usize, to: usize) -> Duration {
        if from == to {
            WITHIN_DOMAIN
        } else {
            self.scenario.between_domains
        }
    }

    fn open_flow(&mut self) {
        let gap = Duration::from_secs_f64(1.0 / self.scenario.flows_per_s());
        let gap = exponential(&mut self.arrivals, gap);
        self.timeline.push(self.after(gap), Step::Open);
        self.arrivals
            .fill_bytes(&mut self.initial[6..6 + DCID_BYTES]);
        let caller = SocketAddrV4::new(
            self.arrivals.random::<u32>().into(),
            self.arrivals.random_range(1_024..=u16::MAX),
        );
        let dcid = &self.initial[6..6 + DCID_BYTES];
        let endpoints = Endpoints {
            source: caller,
            destination: self.service.address,
        };
        let flow = Flow {
            key: FlowKey::new(caller, dcid).expect("the length is valid"),
            header: TunnelHeader::new(endpoints, node::tag()),
            opened: self.now,
            node: usize::MAX,
            left: self.requests_of_flow(),
            held: false,
        };
        self.flows.push(flow);
        self.meter.flows += u64::from(self.is_measured());
        self.send_first(self.flows.len() - 1);
    }

    fn requests_of_flow(&mut self) -> u32 {
        let mean = f64::from(self.scenario.workload.requests());
        let mut requests = 1;
        while self.arrivals.random_bool(1.0 - 1.0 / mean) {
            requests += 1;
        }
        requests
    }

    /// Sends the first packet of a flow through a balancer of any failure domain.
    pub(super) fn send_first(&mut self, flow: usize) {
        if self.scenario.strategy == Strategy::Oracle {
            return self.place_by_oracle(flow);
        }
        let dcid = self.flows[flow].key;
        self.initial[6..6 + DCID_BYTES].copy_from_slice(dcid.dcid());
        let endpoints = self.flows[flow].header.endpoints;
        let forward = route::forward(&self.table, &self.keys, endpoints, &self.initial);
        let ForwardingDecision::Opening(hop) = forward else {
            return self.shed_flow(flow);
        };
        self.flows[flow].header = hop.header;
        let node = node::index_of(hop.to);
        let balancer = self.rng.random_range(0..self.scenario.domains);
        let delay = CALLER_TO_BALANCER + self.way(balancer, self.nodes[node].domain);
        self.timeline
            .push(self.after(delay), Step::First { node, flow });
    }

    pub(super) fn retry_first(&mut self, flow: usize) {
        // The caller's retry goes through the balancers again, here without a step of its own.
        let at = self.after(CALLER_RETRY);
        let node = self.flows[flow].node;
        debug_assert_eq!(node, usize::MAX, "the flow has no agent yet");
        self.timeline.push(at, Step::First { node, flow });
    }

    /// Starts a flow at the agent that took it.
    pub(super) fn start_flow(&mut self, node: usize, flow: usize) {
        let entry = &mut self.flows[flow];
        entry.node = node;
        entry.held = true;
        self.nodes[node].connections += 1;
        if self.is_measured() {
            self.meter.placed += 1;
            self.meter.admitted_after_drain += u64::from(self.nodes[node].drained);
        }
        match self.scenario.workload {
            Workload::Units { .. } => self.request(flow),
            Workload::Sessions { .. } => {
                let round_trip = (CALLER_TO_BALANCER + self.scenario.between_domains) * 2;
                self.timeline
                    .push(self.after(round_trip), Step::Request { flow });
            }
        }
    }

    pub(super) fn shed_flow(&mut self, _flow: usize) {
        if self.is_measured() {
            self.meter.requests += 1;
            self.meter.shed += 1;
        }
    }

    /// The choices of one flow's request, the same for every way of placing the flow.
    pub(super) fn demand(&self, flow: usize) -> ChaCha8Rng {
        let number = (flow as u64) << 32 | u64::from(self.flows[flow].left);
        ChaCha8Rng::seed_from_u64(self.scenario.seed.rotate_right(8) ^ number)
    }

    pub(super) fn service_time(&self, node: usize, work: &Work) -> Duration {
        let drawn = work.demand;
        let factor = match self.scenario.fault {
            Fault::Slow if node == 0 => SLOW_FACTOR,
            Fault::Cold if self.now < self.nodes[node].cold_until => COLD_FACTOR,
            _ => 1.0,
        };
        drawn.mul_f64(factor)
    }

    pub(super) fn sheds_at_once(&mut self, node: usize) -> bool {
        self.scenario.fault == Fault::Lying && node == 0 && self.rng.random_bool(LYING_SHED)
    }

    /// Gives an event to an agent's own decisions and carries out what they ask for.
    pub(super) fn tell(&mut self, node: usize, event: Event) {
        let Strategy::Reports { links, .. } = self.scenario.strategy else {
            return;
        };
        if !self.nodes[node].alive {
            return;
        }
        for action in self.nodes[node].admission.handle(event, self.now) {
            let Action::Report { tunnel, report, .. } = action else {
                continue;
            };
            let mut buf = Vec::new();
            report.encode(&mut buf);
            self.nodes[node].bytes_sent += buf.len() as u64;
            if self.rng.random_range(0..100) < links.loss_percent {
                continue;
            }
            let to = node::index_of(tunnel);
            let delay = self.between(node, to) + Duration::from_millis(links.late_ms);
            self.timeline
                .push(self.after(delay), Step::Report { node: to, report });
        }
        self.plan_wake(node);
    }

    pub(super) fn plan_wake(&mut self, node: usize) {
        let wanted = self.nodes[node].admission.next_wakeup().max(self.now);
        if wanted < self.nodes[node].wake {
            self.nodes[node].wake = wanted;
            self.timeline.push(wanted, Step::Wake { node });
        }
    }

    fn wake(&mut self, node: usize) {
        if self.nodes[node].wake == self.now {
            self.nodes[node].wake = Timestamp::MAX;
            self.tell(node, Event::Tick);
        }
    }

    fn sample(&mut self) {
        self.timeline
            .push(self.after(SAMPLE_INTERVAL), Step::Sample);
        if self.is_measured() {
            let skipped = usize::from(self.scenario.fault != Fault::None);
            let equal = self.nodes.iter().skip(skipped);
            self.meter.sample(equal.map(Node::work));
        }
        self.renew_credits();
    }

    fn strike(&mut self) {
        let learnt = self.after(ROSTER_DELAY);
        let first = &mut self.nodes[0];
        match self.scenario.fault {
            Fault::None | Fault::Slow | Fault::Lying => return,
            Fault::Cold => {
                first.alive = true;
                first.listed = AgentState::Ready;
                first.cold_until = self.now + COLD_TIME;
                let (limits, policy) = (FlowLimits::new(), self.policy());
                let limits = limits.slots(self.scenario.slots).queue(self.scenario.queue);
                self.nodes[0] = Node {
                    cold_until: self.now + COLD_TIME,
                    ..Node::new(0, self.scenario.domains, limits, policy, self.now)
                };
                return self.learn();
            }
            Fault::Leaving => {
                first.drained = true;
                first.listed = AgentState::Draining;
                self.tell(0, Event::Drain);
            }
            Fault::Dying => {
                first.alive = false;
                first.listed = AgentState::Gone;
                first.waiting.clear();
                self.break_flows();
            }
        }
        self.timeline.push(learnt, Step::Learn);
    }

    fn policy(&self) -> FlowPolicy {
        match self.scenario.strategy {
            Strategy::Reports { policy, .. } => policy,
            _ => FlowPolicy::new(),
        }
    }

    fn break_flows(&mut self) {
        for flow in &mut self.flows {
            if flow.held && flow.node == 0 {
                flow.held = false;
                self.meter.broken += 1;
            }
        }
    }

    /// Gives balancers and agents the roster as it is now.
    fn learn(&mut self) {
        let records: Vec<_> = self.nodes.iter().map(Node::record).collect();
        let snapshot = Snapshot::new(ConfigVersion::new(1), [self.service.clone()]);
        self.table = RouteTable::build(&snapshot, &records);
        for node in 0..self.nodes.len() {
            self.tell(node, Event::Peers(records.clone()));
        }
    }

    pub(super) fn spread(&self) -> Spread {
        match self.scenario.strategy {
            Strategy::Reports { spread, .. } => spread,
            _ => Spread::Stay,
        }
    }

    pub(super) fn count_credit_bytes(&mut self, node: usize) {
        self.nodes[node].bytes_sent += CREDIT_BYTES;
    }

    fn outcome(&self) -> Outcome {
        let busiest = self.nodes.iter().map(|it| it.bytes_sent).max();
        let seconds = self.scenario.length.as_secs().max(1);
        let bytes = super::outcome::ratio(busiest.unwrap_or(0), seconds);
        let violations = self
            .nodes
            .iter()
            .map(|node| node.admission.counters().invariant_violations)
            .sum();
        self.meter.finish(bytes, violations)
    }

    /// Whether the flow of a request is still open.
    pub(super) fn holds(&self, work: &Work) -> bool {
        self.flows[work.flow].held
    }
}

/// Draws from an exponential distribution.
pub(super) fn exponential(rng: &mut ChaCha8Rng, mean: Duration) -> Duration {
    let uniform: f64 = rng.random();
    mean.mul_f64(-(1.0 - uniform).ln())
}
