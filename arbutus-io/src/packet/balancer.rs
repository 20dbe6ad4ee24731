mod logging;
mod lookup;
mod store_events;

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use arbutus_core::{
    packet::{
        AgentReport, MemberChange, Message, PeerSnapshot, Steering, SteeringDecision,
        SteeringDropReason, SteeringSettings,
    },
    time::Timestamp,
};
use parking_lot::Mutex;
use tokio::{
    sync::Notify,
    time::{self, MissedTickBehavior},
};

use super::{PacketCodec, PacketSocket, pause_detector::PauseDetector};
use crate::{
    clock,
    metrics::{PacketBalancerMetrics, ReasonLabel},
    telemetry::LogRateLimiter,
};

/// The sockets of a balancer.
#[derive(Debug)]
pub struct BalancerSockets {
    /// Receives callers' packets.
    pub callers: PacketSocket,
    /// Receives agents' messages, and sends messages and relayed packets to agents.
    pub peers: PacketSocket,
}

/// A balancer of packet flows.
#[derive(Debug)]
pub struct PacketBalancer<C> {
    settings: SteeringSettings,
    codec: C,
    metrics: PacketBalancerMetrics,
    sockets: BalancerSockets,
    state: Mutex<State>,
    /// Notified when another balancer has a newer configuration that should be fetched.
    config_missed: Notify,
    /// Notified when a lookup waits for the store's present state.
    store_check_requested: Notify,
}

#[derive(Debug)]
struct State {
    steering: Steering,
    /// When the last packet of a caller was received.
    last_caller_packet_at: Timestamp,
    /// Whether the balancer reaches no agent.
    isolated: bool,
    placed_log_limiter: LogRateLimiter,
    lookup_log_limiter: LogRateLimiter,
    dropped_log_limiter: LogRateLimiter,
}

impl<C: PacketCodec> PacketBalancer<C> {
    /// Time between two checks for silent agents and expired entries.
    const TICK_INTERVAL: Duration = Duration::from_millis(250);

    /// Time between two checks for lookups whose answers are overdue.
    const LOOKUP_TICK_INTERVAL: Duration = Duration::from_millis(60);

    /// Maximum number of log lines of each kind in a second.
    const LOG_LINES_PER_S: u32 = 200;

    /// Creates a balancer without a configuration and without agents.
    #[must_use]
    pub fn new(
        settings: SteeringSettings,
        codec: C,
        metrics: PacketBalancerMetrics,
        sockets: BalancerSockets,
    ) -> Arc<Self> {
        let state = State {
            steering: Steering::new(settings.clone(), clock::now()),
            last_caller_packet_at: Timestamp::ZERO,
            isolated: false,
            placed_log_limiter: LogRateLimiter::new(Self::LOG_LINES_PER_S),
            lookup_log_limiter: LogRateLimiter::new(Self::LOG_LINES_PER_S),
            dropped_log_limiter: LogRateLimiter::new(Self::LOG_LINES_PER_S),
        };
        Arc::new(Self {
            settings,
            codec,
            metrics,
            sockets,
            state: Mutex::new(state),
            config_missed: Notify::new(),
            store_check_requested: Notify::new(),
        })
    }

    /// Forwards packets until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut buf = [0; PacketSocket::MAX_DATAGRAM_BYTES];
        let mut tick = time::interval(Self::TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut lookup_tick = time::interval(Self::LOOKUP_TICK_INTERVAL);
        lookup_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut pauses = PauseDetector::new();
        loop {
            if let Some(pause) = pauses.check() {
                self.on_pause(pause);
            }
            let (has_lookups, queries_due) = self.lookup_schedule();
            tokio::select! {
                () = self.sockets.callers.readable() => self.receive_caller_packets(&mut buf),
                () = self.sockets.peers.readable() => self.receive_messages(&mut buf),
                _ = tick.tick() => self.on_tick(),
                _ = lookup_tick.tick(), if has_lookups => self.expire_lookups(clock::now()),
                () = time::sleep(queries_due), if has_lookups => self.send_queries(clock::now()),
            }
        }
    }

    /// Treats the store as unreachable after a pause until the store answers again, because agents
    /// and configuration may have changed meanwhile.
    fn on_pause(&self, pause: Duration) {
        let now = clock::now();
        self.state.lock().steering.on_store_status(false, now);
        let pause_ms = age_ms(Some(pause));
        tracing::warn!(pause_ms, "process_paused");
    }

    fn receive_caller_packets(&self, buf: &mut [u8]) {
        for _ in 0..PacketSocket::MAX_RECEIVE_BATCH {
            let Some(packet) = self.sockets.callers.try_receive(buf) else {
                return;
            };
            self.on_packet(packet, clock::now());
        }
    }

    fn on_packet(&self, packet: &[u8], now: Timestamp) {
        let segment = match self.codec.read_from_caller(packet) {
            Ok(decoded) if !decoded.bounced => decoded.segment,
            Ok(_) => return self.count_drop(SteeringDropReason::NotACaller.name()),
            Err(err) => return self.count_drop(err.name()),
        };
        let mut state = self.state.lock();
        state.last_caller_packet_at = now;
        match state.steering.on_packet(&segment, packet, now) {
            SteeringDecision::Relay { header, placement } => {
                if let Some(choice) = placement {
                    self.log_placed(&mut state, &segment, &choice, now);
                }
                drop(state);
                if let Some(agent) = header.target() {
                    self.metrics.relayed.inc();
                    self.send(&Message::Relay(header).encode(packet), agent);
                }
            }
            SteeringDecision::Query(agents) => {
                self.log_lookup(&mut state, &segment, agents.len(), now);
                drop(state);
                self.send_queries(now);
            }
            SteeringDecision::Buffered => {}
            SteeringDecision::Drop(reason) => self.log_dropped(&mut state, &segment, reason, now),
        }
    }

    fn count_drop(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.metrics.dropped.get_or_create(&label).inc();
    }

    fn receive_messages(&self, buf: &mut [u8]) {
        for _ in 0..PacketSocket::MAX_RECEIVE_BATCH {
            let Some(bytes) = self.sockets.peers.try_receive(buf) else {
                return;
            };
            self.on_message(bytes, clock::now());
        }
    }

    fn on_message(&self, bytes: &[u8], now: Timestamp) {
        match Message::decode(bytes) {
            Ok((Message::Report(report), _)) => {
                let newcomer = report.clone();
                if self.on_report(report, now) == MemberChange::Joined {
                    self.introduce(newcomer);
                }
            }
            Ok((Message::FlowOwned { agent, flow, open }, _)) => {
                let mut state = self.state.lock();
                let step = state.steering.on_flow_owned(agent, flow, open, now);
                drop(state);
                self.execute_step(flow, step, now);
            }
            Ok((
                Message::Answer {
                    agent,
                    number,
                    answers,
                },
                _,
            )) => self.on_answers(agent, number, &answers, now),
            Ok((Message::FlowNotOwned { agent, flow }, _)) => {
                self.on_flow_not_owned(agent, flow, now);
            }
            Ok((Message::Introduced(report), _)) => {
                self.on_report(report, now);
            }
            Ok((Message::UnlistedQuery { balancer, number }, _)) => {
                let answer = self.state.lock().steering.on_unlisted_query(number);
                self.send(&answer.encode(&[]), balancer);
            }
            Ok((
                Message::UnlistedAnswer {
                    seed,
                    number,
                    agents,
                    all,
                },
                _,
            )) => self.on_unlisted_answer(seed, number, &agents, all, now),
            Ok((Message::Relay(_) | Message::Probe { .. } | Message::Query { .. }, _)) => {
                self.count_drop("not-for-us");
            }
            Err(_) => self.count_drop("unreadable-message"),
        }
    }

    /// Asks some agents to introduce an agent that the store does not list to their balancers.
    fn introduce(&self, newcomer: AgentReport) {
        let agents = self.state.lock().steering.introducers(newcomer.agent);
        if agents.is_empty() {
            return;
        }
        tracing::info!(agent = %newcomer.agent, by = agents.len(), "agent_introduced");
        let message = Message::Introduced(newcomer).encode(&[]);
        for agent in agents {
            self.send(&message, agent);
        }
    }

    fn on_report(&self, report: AgentReport, now: Timestamp) -> MemberChange {
        let (agent, status, incarnation) = (report.agent, report.status, report.incarnation);
        let change = self.state.lock().steering.on_report(report, now);
        match change {
            MemberChange::Joined | MemberChange::Status | MemberChange::Left => tracing::info!(
                %agent, ?status, %incarnation, ?change, source = "report", "agent_changed"
            ),
            MemberChange::Unchanged | MemberChange::Stale => {}
        }
        change
    }

    fn on_tick(&self) {
        let now = clock::now();
        let mut state = self.state.lock();
        let gone = state.steering.expire(now);
        let probes = state.steering.take_probes(now);
        let isolated = state.steering.is_isolated(now);
        let isolation_changed = isolated != state.isolated;
        state.isolated = isolated;
        self.update_gauges(&state.steering);
        let missed = state.steering.is_config_fetch_due(now);
        let suppressed = [
            state.placed_log_limiter.take_suppressed(),
            state.lookup_log_limiter.take_suppressed(),
            state.dropped_log_limiter.take_suppressed(),
        ];
        drop(state);
        if missed {
            self.config_missed.notify_one();
        }
        if isolation_changed {
            tracing::info!(isolated, "isolation_changed");
        }
        for agent in gone {
            tracing::info!(%agent, change = "Left", source = "silence", "agent_changed");
        }
        if suppressed.iter().any(|it| *it > 0) {
            let [placed, searched, dropped] = suppressed;
            tracing::info!(placed, searched, dropped, "lines_left_out");
        }
        let balancer = self.settings.balancer;
        let probe = Message::Probe { balancer }.encode(&[]);
        for agent in probes {
            self.send(&probe, agent);
        }
    }

    fn update_gauges(&self, steering: &Steering) {
        set_gauge(&self.metrics.agents, steering.member_count());
        set_gauge(&self.metrics.flows, steering.flow_count());
        let version = i64::try_from(steering.config_version().get());
        self.metrics.config_version.set(version.unwrap_or(i64::MAX));
    }

    fn send(&self, bytes: &[u8], to: SocketAddrV4) {
        if !self.sockets.peers.send(bytes, to) {
            self.metrics.send_failed.inc();
        }
    }

    /// Returns whether a configuration is in force.
    #[must_use]
    pub fn has_config(&self) -> bool {
        self.state.lock().steering.has_config()
    }

    /// Returns whether the process started recently or has no configuration yet.
    #[must_use]
    pub fn is_settling(&self) -> bool {
        let state = self.state.lock();
        !state.steering.is_synced_with_peers(clock::now()) || !state.steering.has_config()
    }

    /// Returns whether a snapshot of another balancer is needed.
    #[must_use]
    pub fn needs_peer_snapshot(&self) -> bool {
        self.state.lock().steering.needs_peer_sync(clock::now())
    }

    /// Returns a snapshot of the state from which another balancer can start.
    #[must_use]
    pub fn snapshot(&self) -> PeerSnapshot {
        self.state.lock().steering.snapshot(clock::now())
    }

    /// Waits until another balancer has a configuration that was not received from the store, and
    /// returns the address of that balancer.
    pub async fn config_to_fetch(&self) -> SocketAddrV4 {
        loop {
            self.config_missed.notified().await;
            let mut state = self.state.lock();
            if let Some(source) = state.steering.take_config_source(clock::now()) {
                return source;
            }
        }
    }

    /// Returns whether the balancer can forward callers' packets, which needs a configuration and
    /// reachable agents.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.state.lock();
        state.steering.has_config() && !state.isolated
    }

    /// Returns the time since the last packet of a caller.
    #[must_use]
    pub fn callers_idle_for(&self) -> Duration {
        clock::now().since(self.state.lock().last_caller_packet_at)
    }

    /// Returns the balancer's metrics.
    #[must_use]
    pub const fn metrics(&self) -> &PacketBalancerMetrics {
        &self.metrics
    }
}

fn set_gauge(gauge: &prometheus_client::metrics::gauge::Gauge, value: usize) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}

/// Returns `age` in milliseconds, or -1 if there is none.
fn age_ms(age: Option<Duration>) -> i64 {
    age.map_or(-1, |it| i64::try_from(it.as_millis()).unwrap_or(i64::MAX))
}
