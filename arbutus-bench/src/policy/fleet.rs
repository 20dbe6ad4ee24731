mod faults;

use std::{net::SocketAddrV4, time::Duration};

use arbutus_core::{
    config::Service,
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
    Fault, Outcome, RequestPlacement, Scenario, Strategy, Workload,
    event_queue::{EventQueue, SimEvent},
    node::{self, Node, Request},
    outcome::Meter,
};

/// One-way delay between two nodes of the same failure domain.
const INTRA_DOMAIN_DELAY: Duration = Duration::from_micros(300);
/// One-way delay between a caller and a balancer.
const CALLER_TO_BALANCER_DELAY: Duration = Duration::from_millis(3);
/// Interval between two samples of the in-flight requests.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a caller retransmits an unanswered first packet.
const CALLER_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Factor by which a cold backend server takes longer.
const COLD_START_FACTOR: f64 = 4.0;
/// Factor by which a slow backend server takes longer.
const SLOW_FACTOR: f64 = 3.0;
/// Probability with which a shedding backend server sheds a request.
const SHED_PROBABILITY: f64 = 0.5;
/// Encoded size of a credit.
const CREDIT_BYTES: u64 = 24;
const SERVICE_PORT: u16 = 443;
const INITIAL_BYTES: usize = 1_200;
const DCID_BYTES: usize = 8;

/// One flow of a caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flow {
    pub(super) key: FlowKey,
    pub(super) header: TunnelHeader,
    pub(super) opened_at: Timestamp,
    /// Index of the agent that owns the flow, `usize::MAX` before admission.
    pub(super) node: usize,
    /// Number of requests that the caller has not made yet.
    pub(super) remaining_requests: u32,
    /// Whether the flow is admitted and has not ended.
    pub(super) is_open: bool,
}

/// State of a run.
pub(super) struct Fleet {
    pub(super) scenario: Scenario,
    pub(super) now: Timestamp,
    pub(super) nodes: Vec<Node>,
    pub(super) flows: Vec<Flow>,
    pub(super) event_queue: EventQueue,
    pub(super) meter: Meter,
    /// Random choices of the strategy.
    pub(super) rng: ChaCha8Rng,
    /// Random choices of the arrivals, which are the same for every strategy.
    arrivals: ChaCha8Rng,
    service: Service,
    table: RouteTable,
    keys: KeyRing,
    /// Template of the packet that opens a flow.
    initial: Vec<u8>,
}

/// Runs a scenario and returns its figures.
///
/// # Panics
///
/// Panics if the scenario has no backend server.
#[must_use]
pub fn run(scenario: &Scenario) -> Outcome {
    let mut fleet = Fleet::new(*scenario);
    let end = Timestamp::ZERO + scenario.duration;
    while let Some((at, event)) = fleet.event_queue.pop() {
        if at > end {
            break;
        }
        fleet.now = at;
        fleet.handle_event(event);
    }
    fleet.outcome()
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let limits = FlowLimits::new()
            .slots(scenario.slots)
            .queue(scenario.queue_limit);
        let policy = match scenario.strategy {
            Strategy::Reports { policy, .. } => policy,
            _ => FlowPolicy::new(),
        };
        let start = Timestamp::ZERO;
        let mut nodes: Vec<_> = (0..scenario.backend_servers)
            .map(|index| Node::new(index, scenario.domains, limits, policy, start))
            .collect();
        if scenario.fault == Fault::ColdStart {
            nodes[0].is_alive = false;
            nodes[0].listed_state = AgentState::Gone;
        }
        let address = SocketAddrV4::new([192, 0, 2, 1].into(), SERVICE_PORT);
        let mut initial = vec![0; INITIAL_BYTES];
        initial[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
        let mut fleet = Self {
            scenario,
            now: start,
            nodes,
            flows: Vec::new(),
            event_queue: EventQueue::default(),
            meter: Meter::new(),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            arrivals: ChaCha8Rng::seed_from_u64(scenario.seed.wrapping_add(1)),
            service: Service::new("measured", address),
            table: RouteTable::new(),
            keys: KeyRing::single(SystemKey::derive(&[1; SystemKey::SECRET_BYTES])),
            initial,
        };
        fleet.update_rosters();
        fleet.event_queue.push(start, SimEvent::FlowOpened);
        fleet.event_queue.push(start, SimEvent::Sample);
        let middle = start + scenario.duration / 2;
        fleet.event_queue.push(middle, SimEvent::Fault);
        fleet
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::FlowOpened => self.open_flow(),
            SimEvent::FirstPacket { node, flow } => self.on_first_packet(node, flow),
            SimEvent::Request { flow } => self.on_request(flow),
            SimEvent::RequestPassed { node, request } => self.on_request_passed(node, request),
            SimEvent::RequestDone { node, request } => self.on_request_done(node, request),
            SimEvent::Report { node, report } => self.notify_agent(node, Event::Report(report)),
            SimEvent::Credit { node, from } => self.on_credit(node, from),
            SimEvent::Wakeup { node } => self.on_wakeup(node),
            SimEvent::Sample => self.sample(),
            SimEvent::Fault => self.inject_fault(),
            SimEvent::RosterUpdate => self.update_rosters(),
        }
    }

    /// Returns whether the first tenth of the run, which is not measured, has passed.
    pub(super) fn is_measured(&self) -> bool {
        self.now >= Timestamp::ZERO + self.scenario.duration / 10
    }

    /// Returns the time `delay` from now.
    pub(super) fn after(&self, delay: Duration) -> Timestamp {
        self.now + delay
    }

    /// Returns the one-way delay between two nodes.
    pub(super) fn delay_between(&self, from: usize, to: usize) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        self.domain_delay(self.nodes[from].domain, self.nodes[to].domain)
    }

    /// Returns the one-way delay between two failure domains.
    fn domain_delay(&self, from: usize, to: usize) -> Duration {
        if from == to {
            INTRA_DOMAIN_DELAY
        } else {
            self.scenario.inter_domain_delay
        }
    }

    fn open_flow(&mut self) {
        let gap = Duration::from_secs_f64(1.0 / self.scenario.flows_per_s());
        let gap = exponential(&mut self.arrivals, gap);
        self.event_queue.push(self.after(gap), SimEvent::FlowOpened);
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
            key: FlowKey::new(caller, dcid).expect("the length of the connection ID is valid"),
            header: TunnelHeader::new(endpoints, node::tag()),
            opened_at: self.now,
            node: usize::MAX,
            remaining_requests: self.draw_request_count(),
            is_open: false,
        };
        self.flows.push(flow);
        self.meter.flows += u64::from(self.is_measured());
        self.send_first(self.flows.len() - 1);
    }

    fn draw_request_count(&mut self) -> u32 {
        let mean = f64::from(self.scenario.workload.mean_requests());
        let mut requests = 1;
        while self.arrivals.random_bool(1.0 - 1.0 / mean) {
            requests += 1;
        }
        requests
    }

    /// Sends the first packet of a flow through a balancer in a random failure domain.
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
        let delay = CALLER_TO_BALANCER_DELAY + self.domain_delay(balancer, self.nodes[node].domain);
        self.event_queue
            .push(self.after(delay), SimEvent::FirstPacket { node, flow });
    }

    /// Schedules the retransmission of a first packet that reached no running agent.
    pub(super) fn retry_first(&mut self, flow: usize) {
        // An event without a node sends the retransmitted packet through the balancers again.
        let at = self.after(CALLER_RETRY_DELAY);
        let node = self.flows[flow].node;
        debug_assert_eq!(node, usize::MAX, "the flow has no agent yet");
        self.event_queue
            .push(at, SimEvent::FirstPacket { node, flow });
    }

    /// Starts a flow at the agent that admitted it.
    pub(super) fn start_flow(&mut self, node: usize, flow: usize) {
        let entry = &mut self.flows[flow];
        entry.node = node;
        entry.is_open = true;
        self.nodes[node].connections += 1;
        if self.is_measured() {
            self.meter.placed += 1;
            self.meter.admitted_after_drain += u64::from(self.nodes[node].is_drained);
        }
        match self.scenario.workload {
            Workload::Units { .. } => self.on_request(flow),
            Workload::Sessions { .. } => {
                let round_trip = (CALLER_TO_BALANCER_DELAY + self.scenario.inter_domain_delay) * 2;
                self.event_queue
                    .push(self.after(round_trip), SimEvent::Request { flow });
            }
        }
    }

    /// Counts a flow that no agent admitted.
    pub(super) fn shed_flow(&mut self, _flow: usize) {
        if self.is_measured() {
            self.meter.requests += 1;
            self.meter.shed += 1;
        }
    }

    /// Returns the random choices for the next request of a flow. They are the same for every
    /// strategy.
    pub(super) fn request_rng(&self, flow: usize) -> ChaCha8Rng {
        let number = (flow as u64) << 32 | u64::from(self.flows[flow].remaining_requests);
        ChaCha8Rng::seed_from_u64(self.scenario.seed.rotate_right(8) ^ number)
    }

    /// Returns the time that a node needs for a request, including the effect of a fault.
    pub(super) fn service_time(&self, node: usize, request: &Request) -> Duration {
        let service_time = request.service_time;
        let factor = match self.scenario.fault {
            Fault::Slow if node == 0 => SLOW_FACTOR,
            Fault::ColdStart if self.now < self.nodes[node].cold_until => COLD_START_FACTOR,
            _ => 1.0,
        };
        service_time.mul_f64(factor)
    }

    /// Returns whether a shedding node sheds the current request.
    pub(super) fn sheds_request(&mut self, node: usize) -> bool {
        self.scenario.fault == Fault::Shedding
            && node == 0
            && self.rng.random_bool(SHED_PROBABILITY)
    }

    /// Passes an event to the flow admission of an agent and sends the load reports it requests.
    ///
    /// Does nothing for other strategies than load reports, and for crashed agents.
    pub(super) fn notify_agent(&mut self, node: usize, event: Event) {
        let Strategy::Reports { links, .. } = self.scenario.strategy else {
            return;
        };
        if !self.nodes[node].is_alive {
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
            let delay = self.delay_between(node, to) + Duration::from_millis(links.extra_delay_ms);
            self.event_queue
                .push(self.after(delay), SimEvent::Report { node: to, report });
        }
        self.schedule_wakeup(node);
    }

    /// Schedules the next wakeup of a node if it is earlier than the scheduled one.
    pub(super) fn schedule_wakeup(&mut self, node: usize) {
        let wakeup = self.nodes[node].admission.next_wakeup().max(self.now);
        if wakeup < self.nodes[node].next_wakeup {
            self.nodes[node].next_wakeup = wakeup;
            self.event_queue.push(wakeup, SimEvent::Wakeup { node });
        }
    }

    fn on_wakeup(&mut self, node: usize) {
        if self.nodes[node].next_wakeup == self.now {
            self.nodes[node].next_wakeup = Timestamp::MAX;
            self.notify_agent(node, Event::Tick);
        }
    }

    fn sample(&mut self) {
        self.event_queue
            .push(self.after(SAMPLE_INTERVAL), SimEvent::Sample);
        if self.is_measured() {
            // The first node is left out if it is faulty, since its load differs on purpose.
            let skipped = usize::from(self.scenario.fault != Fault::None);
            let healthy = self.nodes.iter().skip(skipped);
            self.meter.sample(healthy.map(Node::in_flight));
        }
        self.renew_credits();
    }

    pub(super) fn request_placement(&self) -> RequestPlacement {
        match self.scenario.strategy {
            Strategy::Reports {
                request_placement, ..
            } => request_placement,
            _ => RequestPlacement::Local,
        }
    }

    pub(super) fn count_credit_bytes(&mut self, node: usize) {
        self.nodes[node].bytes_sent += CREDIT_BYTES;
    }

    fn outcome(&self) -> Outcome {
        let busiest = self.nodes.iter().map(|it| it.bytes_sent).max();
        let seconds = self.scenario.duration.as_secs().max(1);
        let bytes = super::outcome::ratio(busiest.unwrap_or(0), seconds);
        let violations = self
            .nodes
            .iter()
            .map(|node| node.admission.counters().invariant_violations)
            .sum();
        self.meter.finish(bytes, violations)
    }

    /// Returns whether the flow of a request is still open.
    pub(super) fn is_flow_open(&self, request: &Request) -> bool {
        self.flows[request.flow].is_open
    }
}

/// Draws from an exponential distribution.
pub(super) fn exponential(rng: &mut ChaCha8Rng, mean: Duration) -> Duration {
    let uniform: f64 = rng.random();
    mean.mul_f64(-(1.0 - uniform).ln())
}
