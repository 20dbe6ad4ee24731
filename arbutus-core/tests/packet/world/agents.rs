//! Agents and backend servers.

use std::net::SocketAddrV4;

use arbutus_core::{
    packet::{AgentStatus, EarlierListing, Message, Segment, TrackerAction},
    time::Timestamp,
};

use super::{
    super::{fixture, model_backend::Response},
    AGENT_TICK, Event, INTRODUCTION_INTERVAL, LISTING_TTL, Node, SEEDS, World, packet_of,
    segment_of,
};

impl World {
    pub(super) fn heartbeat(&mut self, index: usize) {
        let now = self.now;
        let agent = &mut self.agents[index];
        let (Some(tracker), Some(backend)) = (&mut agent.tracker, &mut agent.backend) else {
            return;
        };
        tracker.on_heartbeat(backend.heartbeat(), now);
        for action in tracker.reset_predecessor_flows() {
            if let TrackerAction::Reset { flow, .. } = action {
                self.send_reset(flow);
            }
        }
        self.report(index);
    }

    pub(super) fn agent_tick(&mut self, index: usize, generation: u64) {
        let now = self.now;
        let agent = &mut self.agents[index];
        let Some(tracker) = agent
            .tracker
            .as_mut()
            .filter(|_| agent.generation == generation)
        else {
            return;
        };
        tracker.expire(now);
        let was_listed = agent.listed_until.is_some_and(|until| until > now);
        let wanted = !matches!(
            tracker.status(now),
            AgentStatus::Ended | AgentStatus::Waiting
        );
        if wanted && agent.reaches_store {
            if !agent.has_read_listing {
                agent.has_read_listing = true;
                tracker.on_earlier_listing(if was_listed {
                    EarlierListing::Served(agent.listed_process.take())
                } else {
                    EarlierListing::Absent
                });
            }
            agent.listed_until = Some(now + LISTING_TTL);
            agent.listed_process = tracker.backend().process();
        }
        if wanted && agent.reaches_store && !was_listed {
            self.notify_listings();
        }
        self.report(index);
        self.schedule(AGENT_TICK, Event::AgentTick(index, generation));
    }

    pub(super) fn report(&mut self, index: usize) {
        let now = self.now;
        let Some(tracker) = &mut self.agents[index].tracker else {
            return;
        };
        if !tracker.has_pending_reports() {
            return;
        }
        let (report, balancers) = tracker.take_report(now);
        let bytes = Message::Report(report).encode(&[]);
        for balancer in balancers {
            self.send_to_balancer(balancer, bytes.clone());
        }
    }

    pub(super) fn send_to_balancer(&mut self, balancer: SocketAddrV4, bytes: Vec<u8>) {
        let index = usize::from(balancer.ip().octets()[3]) - 1;
        self.send(Event::Message(Node::Balancer(index), bytes));
    }

    pub(super) fn introduce(&mut self, index: usize, generation: u64) {
        let now = self.now;
        let agent = &mut self.agents[index];
        let Some(tracker) = agent
            .tracker
            .as_mut()
            .filter(|_| agent.generation == generation)
        else {
            return;
        };
        let listed = agent.listed_until.is_some_and(|until| until > now);
        if !listed && agent.backend.is_some() {
            let bytes = Message::Report(tracker.introduction(now)).encode(&[]);
            let mut to = tracker.recent_balancers();
            to.extend((0..self.balancers.len().min(SEEDS)).map(fixture::balancer));
            for balancer in to {
                self.send_to_balancer(balancer, bytes.clone());
            }
        }
        self.schedule(INTRODUCTION_INTERVAL, Event::Introduce(index, generation));
    }

    pub(super) fn agent_message(&mut self, index: usize, bytes: &[u8]) {
        let now = self.now;
        let (message, packet) = Message::decode(bytes).expect("a valid message");
        let Some(tracker) = self
            .agents
            .get_mut(index)
            .and_then(|it| it.tracker.as_mut())
        else {
            return;
        };
        match message {
            Message::Relay(header) => {
                let segment = segment_of(packet);
                self.ingress_balancer = usize::from(header.balancer.ip().octets()[3]) - 1;
                let action = tracker.on_relayed(header, &segment, now);
                self.apply_action(index, action, &segment);
            }
            Message::Query {
                balancer,
                number,
                questions,
            } => {
                let answer = Message::Answer {
                    agent: fixture::agent(index),
                    number,
                    answers: tracker.on_query(balancer, &questions, now),
                };
                self.send_to_balancer(balancer, answer.encode(&[]));
            }
            Message::Introduced(newcomer) => {
                let balancers = tracker.recent_balancers();
                let bytes = Message::Introduced(newcomer).encode(&[]);
                for balancer in balancers {
                    self.send_to_balancer(balancer, bytes.clone());
                }
            }
            Message::Probe { balancer } => tracker.on_probe(balancer, now),
            Message::Report(_)
            | Message::FlowOwned { .. }
            | Message::Answer { .. }
            | Message::FlowNotOwned { .. }
            | Message::UnlistedQuery { .. }
            | Message::UnlistedAnswer { .. } => unreachable!("not for agents"),
        }
    }

    pub(super) fn apply_action(&mut self, index: usize, action: TrackerAction, segment: &Segment) {
        self.record_flow_event(segment.flow, ("agent", index, &action));
        match action {
            TrackerAction::ToBackend {
                notify_balancer,
                admitted,
            } => {
                if admitted {
                    self.check_admission(index);
                }
                self.notify_balancer(index, notify_balancer, segment);
                self.backend_packet(index, segment);
            }
            TrackerAction::PassOn { header, .. } => self.relay(header, &packet_of(segment)),
            TrackerAction::ToCaller {
                notify_balancer, ..
            } => {
                self.notify_balancer(index, notify_balancer, segment);
                let to = Node::Caller(segment.flow.caller.port());
                self.send(Event::Packet(to, *segment));
            }
            TrackerAction::Reset { flow, .. } => self.send_reset(flow),
            TrackerAction::NotOwned { balancer } => {
                let not_owned = Message::FlowNotOwned {
                    agent: fixture::agent(index),
                    flow: segment.flow,
                };
                self.send_to_balancer(balancer, not_owned.encode(&[]));
            }
            TrackerAction::Drop(_) => {}
        }
    }

    pub(super) fn notify_balancer(
        &mut self,
        index: usize,
        balancer: Option<SocketAddrV4>,
        segment: &Segment,
    ) {
        let Some(balancer) = balancer else {
            return;
        };
        let owned = Message::FlowOwned {
            agent: fixture::agent(index),
            flow: segment.flow,
            open: !segment.is_opening(),
        };
        self.send_to_balancer(balancer, owned.encode(&[]));
    }

    pub(super) fn backend_packet(&mut self, index: usize, segment: &Segment) {
        let now = self.now;
        self.record_delivery(index, &segment.flow);
        let agent = &mut self.agents[index];
        let (Some(backend), Some(tracker)) = (&mut agent.backend, &mut agent.tracker) else {
            return;
        };
        match backend.on_packet(segment, now) {
            Response::Answer(answer) => {
                let action = tracker.on_backend_packet(&answer, now);
                self.apply_action(index, action, &answer);
            }
            Response::Bounced => {
                let action = tracker.on_bounced(segment, now);
                self.apply_action(index, action, segment);
            }
            Response::Nothing => {}
        }
    }

    pub(super) fn reset_flows(&mut self, index: usize, generation: u64, left_at: Timestamp) {
        let agent = &mut self.agents[index];
        let Some(tracker) = agent
            .tracker
            .as_mut()
            .filter(|_| agent.generation == generation)
        else {
            return;
        };
        for action in tracker.reset_flows_until(left_at) {
            if let TrackerAction::Reset { flow, .. } = action {
                self.send_reset(flow);
            }
        }
    }
}
