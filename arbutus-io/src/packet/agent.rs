mod backend_events;
mod logging;

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use arbutus_core::{
    packet::{
        AgentReport, FlowId, FlowTracker, Message, Question, RelayHeader, Segment, TrackerAction,
        TrackerSettings,
    },
    time::Timestamp,
};
use parking_lot::Mutex;
use tokio::time::{self, MissedTickBehavior};

use super::{PacketCodec, PacketSocket, pause_detector::PauseDetector};
use crate::{
    clock,
    metrics::{PacketAgentMetrics, ReasonLabel},
    telemetry::LogRateLimiter,
};

/// The sockets of an agent.
#[derive(Debug)]
pub struct AgentSockets {
    /// Receives messages and relayed packets, and sends them to other agents and balancers.
    pub peers: PacketSocket,
    /// Receives the backend server's packets, and sends packets to it and to callers.
    pub backend: PacketSocket,
}

/// An agent of packet flows.
#[derive(Debug)]
pub struct PacketAgent<C> {
    settings: TrackerSettings,
    codec: C,
    metrics: PacketAgentMetrics,
    sockets: AgentSockets,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    tracker: FlowTracker,
    flow_log_limiter: LogRateLimiter,
    request_log_limiter: LogRateLimiter,
}

impl<C: PacketCodec> PacketAgent<C> {
    /// Time between two load reports to a balancer that sends packets to the agent.
    const REPORT_INTERVAL: Duration = Duration::from_millis(200);

    /// Maximum number of log lines of each kind in a second.
    const LOG_LINES_PER_S: u32 = 100;

    /// Creates an agent that has received no heartbeat of its backend server yet.
    #[must_use]
    pub fn new(
        settings: TrackerSettings,
        codec: C,
        metrics: PacketAgentMetrics,
        sockets: AgentSockets,
    ) -> Arc<Self> {
        let state = State {
            tracker: FlowTracker::new(settings.clone(), clock::now()),
            flow_log_limiter: LogRateLimiter::new(Self::LOG_LINES_PER_S),
            request_log_limiter: LogRateLimiter::new(Self::LOG_LINES_PER_S),
        };
        Arc::new(Self {
            settings,
            codec,
            metrics,
            sockets,
            state: Mutex::new(state),
        })
    }

    /// Forwards packets until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut buf = [0; PacketSocket::MAX_DATAGRAM_BYTES];
        let mut tick = time::interval(Self::REPORT_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut pauses = PauseDetector::new();
        loop {
            if let Some(pause) = pauses.check() {
                let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
                tracing::warn!(pause_ms, "process_paused");
            }
            tokio::select! {
                () = self.sockets.backend.readable() => self.receive_backend_packets(&mut buf),
                () = self.sockets.peers.readable() => self.receive_messages(&mut buf),
                _ = tick.tick() => self.on_tick(),
            }
        }
    }

    fn receive_messages(&self, buf: &mut [u8]) {
        for _ in 0..PacketSocket::MAX_RECEIVE_BATCH {
            let Some(bytes) = self.sockets.peers.try_receive(buf) else {
                return;
            };
            let now = clock::now();
            match Message::decode(bytes) {
                Ok((Message::Relay(header), packet)) => self.on_relayed(header, packet, now),
                Ok((Message::Probe { balancer }, _)) => {
                    self.state.lock().tracker.on_probe(balancer, now);
                }
                Ok((
                    Message::Query {
                        balancer,
                        number,
                        questions,
                    },
                    _,
                )) => self.on_query(balancer, number, &questions, now),
                Ok((Message::Introduced(newcomer), _)) => self.forward_introduction(newcomer),
                Ok((
                    Message::Report(_)
                    | Message::FlowOwned { .. }
                    | Message::Answer { .. }
                    | Message::FlowNotOwned { .. }
                    | Message::UnlistedQuery { .. }
                    | Message::UnlistedAnswer { .. },
                    _,
                )) => self.count_drop("not-for-us"),
                Err(_) => self.count_drop("unreadable-message"),
            }
        }
    }

    fn on_query(
        &self,
        balancer: SocketAddrV4,
        number: u32,
        questions: &[Question],
        now: Timestamp,
    ) {
        let mut state = self.state.lock();
        let answers = state.tracker.on_query(balancer, questions, now);
        drop(state);
        let message = Message::Answer {
            agent: self.settings.agent,
            number,
            answers,
        };
        self.count_send(self.sockets.peers.send(&message.encode(&[]), balancer));
    }

    /// Reports to `balancer` that the agent does not own the flow.
    fn send_flow_not_owned(&self, balancer: SocketAddrV4, flow: FlowId) {
        let message = Message::FlowNotOwned {
            agent: self.settings.agent,
            flow,
        };
        self.count_send(self.sockets.peers.send(&message.encode(&[]), balancer));
    }

    fn on_relayed(&self, header: RelayHeader, packet: &[u8], now: Timestamp) {
        let segment = match self.codec.read_from_caller(packet) {
            Ok(decoded) => decoded.segment,
            Err(err) => return self.count_drop(err.name()),
        };
        let mut state = self.state.lock();
        let action = state.tracker.on_relayed(header, &segment, now);
        self.log_action(&mut state, &segment, &action, now);
        if matches!(action, TrackerAction::ToBackend { .. }) {
            self.log_request(&mut state, &segment, packet, now);
        }
        drop(state);
        self.execute(action, &segment, packet);
    }

    fn receive_backend_packets(&self, buf: &mut [u8]) {
        for _ in 0..PacketSocket::MAX_RECEIVE_BATCH {
            let Some(packet) = self.sockets.backend.try_receive(buf) else {
                return;
            };
            self.on_backend_packet(packet, clock::now());
        }
    }

    fn on_backend_packet(&self, packet: &mut [u8], now: Timestamp) {
        let decoded = match self.codec.read_from_backend(packet) {
            Ok(decoded) => decoded,
            Err(err) => return self.count_drop(err.name()),
        };
        let segment = decoded.segment;
        let mut state = self.state.lock();
        let action = if decoded.bounced {
            self.codec.restore_bounced(packet);
            state.tracker.on_bounced(&segment, now)
        } else {
            state.tracker.on_backend_packet(&segment, now)
        };
        self.log_action(&mut state, &segment, &action, now);
        drop(state);
        self.execute(action, &segment, packet);
    }

    fn execute(&self, action: TrackerAction, segment: &Segment, packet: &[u8]) {
        match action {
            TrackerAction::ToBackend {
                notify_balancer, ..
            } => {
                self.metrics.to_backend.inc();
                self.count_send(self.sockets.backend.send(packet, self.settings.backend));
                if let Some(balancer) = notify_balancer {
                    self.send_flow_owned(balancer, segment);
                }
            }
            TrackerAction::PassOn { header, .. } => {
                if let Some(agent) = header.target() {
                    let message = Message::Relay(header).encode(packet);
                    self.count_send(self.sockets.peers.send(&message, agent));
                }
            }
            TrackerAction::NotOwned { balancer } => {
                self.send_flow_not_owned(balancer, segment.flow);
            }
            TrackerAction::ToCaller {
                response_time,
                notify_balancer,
            } => {
                if let Some(balancer) = notify_balancer {
                    self.send_flow_owned(balancer, segment);
                }
                self.metrics.to_callers.inc();
                if let Some(after) = response_time {
                    self.metrics.answer_seconds.observe(after.as_secs_f64());
                }
                let to = self.codec.caller_address(&segment.flow);
                self.count_send(self.sockets.backend.send(packet, to));
            }
            TrackerAction::Reset {
                flow, acknowledged, ..
            } => {
                self.metrics.resets.inc();
                let reset = self.codec.encode_reset(&flow, acknowledged);
                let to = self.codec.caller_address(&flow);
                self.count_send(self.sockets.backend.send(&reset, to));
            }
            TrackerAction::Drop(reason) => self.count_drop(reason.name()),
        }
    }

    /// Forwards the report of an agent that the store does not list to this agent's balancers.
    fn forward_introduction(&self, newcomer: AgentReport) {
        let balancers = self.state.lock().tracker.recent_balancers();
        let message = Message::Introduced(newcomer).encode(&[]);
        for balancer in balancers {
            self.count_send(self.sockets.peers.send(&message, balancer));
        }
    }

    /// Reports to `balancer` that the agent owns the flow.
    fn send_flow_owned(&self, balancer: SocketAddrV4, segment: &Segment) {
        let message = Message::FlowOwned {
            agent: self.settings.agent,
            flow: segment.flow,
            open: !segment.is_opening(),
        };
        self.count_send(self.sockets.peers.send(&message.encode(&[]), balancer));
    }

    fn on_tick(&self) {
        let now = clock::now();
        let mut state = self.state.lock();
        state.tracker.expire(now);
        let flows = i64::try_from(state.tracker.flow_count());
        self.metrics.flows.set(flows.unwrap_or(i64::MAX));
        let requests = state.request_log_limiter.take_suppressed();
        let flows = state.flow_log_limiter.take_suppressed();
        drop(state);
        if requests + flows > 0 {
            tracing::info!(requests, flows, "lines_left_out");
        }
        self.send_reports(now);
    }

    fn send_reports(&self, now: Timestamp) {
        let mut state = self.state.lock();
        if !state.tracker.has_pending_reports() {
            return;
        }
        let (report, balancers) = state.tracker.take_report(now);
        drop(state);
        self.send_report_to(report, &balancers);
    }

    fn send_report_to(&self, report: AgentReport, balancers: &[SocketAddrV4]) {
        let message = Message::Report(report).encode(&[]);
        for balancer in balancers {
            self.count_send(self.sockets.peers.send(&message, *balancer));
        }
    }

    /// Sends a load report to `balancers` and to the balancers that recently sent packets to the
    /// agent, which may have restarted since and no longer have a record of the agent.
    pub fn introduce(&self, balancers: &[SocketAddrV4]) {
        let mut state = self.state.lock();
        let report = state.tracker.introduction(clock::now());
        let mut to = state.tracker.recent_balancers();
        drop(state);
        to.extend(
            balancers
                .iter()
                .filter(|it| !to.contains(it))
                .copied()
                .collect::<Vec<_>>(),
        );
        self.send_report_to(report, &to);
    }

    /// Returns the address at which the agent receives relayed packets.
    #[must_use]
    pub const fn address(&self) -> SocketAddrV4 {
        self.settings.agent
    }

    /// Calls `f` with the agent's flow state.
    pub fn with_tracker<T>(&self, f: impl FnOnce(&FlowTracker) -> T) -> T {
        f(&self.state.lock().tracker)
    }

    /// Returns the agent's metrics.
    #[must_use]
    pub const fn metrics(&self) -> &PacketAgentMetrics {
        &self.metrics
    }

    fn count_send(&self, sent: bool) {
        if !sent {
            self.metrics.send_failed.inc();
        }
    }

    fn count_drop(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.metrics.dropped.get_or_create(&label).inc();
    }
}

/// Returns the age of the last heartbeat in milliseconds, or -1 if none was received.
fn heartbeat_age_ms(tracker: &FlowTracker, now: Timestamp) -> i64 {
    let age = tracker.backend().heartbeat_age(now);
    age.map_or(-1, |it| i64::try_from(it.as_millis()).unwrap_or(i64::MAX))
}
