//! Callers, routers and balancers.

use std::{net::SocketAddrV4, time::Duration};

use arbutus_core::packet::{
    FlowId, LookupAnswer, LookupStep, Message, RelayHeader, Segment, SegmentFlags, SteeringDecision,
};
use rand::Rng;

use super::{super::fixture, BALANCER_TICK, Event, MAX_HOPS, Node, World, agent_index, packet_of};

impl World {
    pub(super) fn caller_due(&mut self, number: u16) {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(&number) else {
            return;
        };
        if caller.due > now || caller.is_over() {
            return;
        }
        let segment = caller.on_due(now);
        let due = caller.due.since(now);
        self.send_segment(segment);
        self.schedule(due, Event::CallerDue(number));
    }

    pub(super) fn send_segment(&mut self, segment: Option<Segment>) {
        if let Some(segment) = segment {
            self.send(Event::FromCaller(segment));
        }
    }

    pub(super) fn caller_packet(&mut self, number: u16, segment: &Segment) {
        let now = self.now;
        if segment.has_rst() {
            self.check_reset(&segment.flow);
            if let Some(caller) = self.callers.get_mut(&number) {
                caller.on_reset();
            }
            return;
        }
        let pause = Duration::from_millis(self.rng.random_range(20..1_500));
        let Some(caller) = self.callers.get_mut(&number) else {
            return;
        };
        let segment = caller.on_packet(segment, pause, now);
        let due = caller.due.since(now);
        self.send_segment(segment);
        self.schedule(due, Event::CallerDue(number));
    }

    /// Routes a packet to a balancer. Nearly all flows change their balancer whenever one starts or
    /// stops.
    pub(super) fn route(&mut self, segment: &Segment) {
        let running: Vec<_> = (0..self.balancers.len())
            .filter(|it| self.balancers[*it].is_some())
            .collect();
        let count = u64::try_from(running.len()).expect("a small number");
        if count == 0 {
            return;
        }
        let chosen = usize::try_from(segment.flow.hash() % count).expect("a small number");
        let index = running[chosen];
        let packet = packet_of(segment);
        let now = self.now;
        let Some(balancer) = &mut self.balancers[index] else {
            return;
        };
        let decision = balancer.steering.on_packet(segment, &packet, now);
        self.record_flow_event(segment.flow, (index, &decision, segment.acknowledged));
        match decision {
            SteeringDecision::Relay { header, .. } => self.relay(header, &packet),
            SteeringDecision::Query(_) => self.send_queries(index),
            SteeringDecision::Buffered | SteeringDecision::Drop(_) => {}
        }
    }

    // Balancers.

    pub(super) fn relay(&mut self, header: RelayHeader, packet: &[u8]) {
        assert!(header.hops() < MAX_HOPS, "too many hops: {header:?}");
        let Some(agent) = header.target() else {
            return;
        };
        let bytes = Message::Relay(header).encode(packet);
        self.send(Event::Message(Node::Agent(agent_index(agent)), bytes));
    }

    /// Sends the questions that are due, and schedules the next round for pending ones.
    pub(super) fn send_queries(&mut self, index: usize) {
        let now = self.now;
        let Some(balancer) = &mut self.balancers[index] else {
            return;
        };
        let batches = balancer.steering.take_queries(now);
        let generation = balancer.generation;
        let wait = balancer.steering.next_queries_at().map(|it| it.since(now));
        for batch in batches {
            let query = Message::Query {
                balancer: fixture::balancer(index),
                number: batch.number,
                questions: batch.questions,
            };
            let to = Node::Agent(agent_index(batch.agent));
            self.send(Event::Message(to, query.encode(&[])));
        }
        if let Some(wait) = wait {
            self.schedule(wait, Event::QueriesDue(index, generation));
        }
    }

    fn send_seed_queries(&mut self, index: usize) {
        let now = self.now;
        let Some(balancer) = &mut self.balancers[index] else {
            return;
        };
        if let Some((query, seeds)) = balancer.steering.take_seed_queries(now) {
            for seed in seeds {
                self.send_to_balancer(seed, query.encode(&[]));
            }
        }
    }

    pub(super) fn queries_due(&mut self, index: usize, generation: u64) {
        let current = self.balancers[index].as_ref().map(|it| it.generation);
        if current == Some(generation) {
            self.send_queries(index);
        }
    }

    pub(super) fn balancer_message(&mut self, index: usize, bytes: &[u8]) {
        let now = self.now;
        let (message, _) = Message::decode(bytes).expect("a valid message");
        let Some(balancer) = &mut self.balancers[index] else {
            return;
        };
        let steering = &mut balancer.steering;
        match message {
            Message::Report(report) => {
                let newcomer = report.agent;
                let change = steering.on_report(report.clone(), now);
                if change == arbutus_core::packet::MemberChange::Joined {
                    let by = steering.introducers(newcomer);
                    for agent in by {
                        let message = Message::Introduced(report.clone()).encode(&[]);
                        self.send(Event::Message(Node::Agent(agent_index(agent)), message));
                    }
                }
            }
            Message::Introduced(report) => {
                steering.on_report(report, now);
            }
            Message::FlowOwned { agent, flow, open } => {
                let step = steering.on_flow_owned(agent, flow, open, now);
                self.apply_step(index, step);
            }
            Message::Answer {
                agent,
                number,
                answers,
            } => {
                for (flow, step) in steering.on_answers(agent, number, &answers, now) {
                    self.record_flow_event(flow, (index, agent, number, &step));
                    self.apply_step(index, step);
                }
            }
            Message::FlowNotOwned { agent, flow } => self.on_not_owned(index, agent, flow),
            Message::UnlistedQuery {
                balancer: from,
                number,
            } => {
                let answer = steering.on_unlisted_query(number).encode(&[]);
                self.send_to_balancer(from, answer);
            }
            Message::UnlistedAnswer {
                seed,
                number,
                agents,
                all,
            } => steering.on_unlisted_answer(seed, number, &agents, all, now),
            Message::Relay(_) | Message::Query { .. } | Message::Probe { .. } => {
                unreachable!("not for balancers")
            }
        }
    }

    pub(super) fn on_not_owned(&mut self, index: usize, agent: SocketAddrV4, flow: FlowId) {
        let answer = LookupAnswer::NotOwned;
        let now = self.now;
        let Some(balancer) = &mut self.balancers[index] else {
            return;
        };
        let step = balancer.steering.on_answer(agent, flow, answer, now);
        self.record_flow_event(flow, (index, agent, answer, &step));
        self.apply_step(index, step);
    }

    pub(super) fn apply_step(&mut self, index: usize, step: LookupStep) {
        match step {
            LookupStep::Wait | LookupStep::Abandon { .. } => {}
            LookupStep::Query(_) => self.send_queries(index),
            LookupStep::Relay { headers, packets } => {
                for header in headers {
                    for packet in &packets {
                        self.relay(header.clone(), packet);
                    }
                }
            }
            LookupStep::Reset { flow, .. } => self.send_reset(flow),
        }
    }

    pub(super) fn send_reset(&mut self, flow: FlowId) {
        let mut segment = Segment::new(flow);
        segment = segment.with_flags(SegmentFlags::RST);
        self.send(Event::Packet(Node::Caller(flow.caller.port()), segment));
    }

    pub(super) fn balancer_tick(&mut self, index: usize, generation: u64) {
        let now = self.now;
        let Some(balancer) = self.balancers[index]
            .as_mut()
            .filter(|it| it.generation == generation)
        else {
            return;
        };
        balancer.steering.expire(now);
        let late = balancer.steering.expire_lookups(now);
        let probes = balancer.steering.take_probes(now);
        let probe = Message::Probe {
            balancer: fixture::balancer(index),
        };
        for agent in probes {
            let to = Node::Agent(agent_index(agent));
            self.send(Event::Message(to, probe.encode(&[])));
        }
        for (_, step) in late {
            self.apply_step(index, step);
        }
        self.check_store(index);
        self.send_seed_queries(index);
        self.schedule(BALANCER_TICK, Event::BalancerTick(index, generation));
    }
}
