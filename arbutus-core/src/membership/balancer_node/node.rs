use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    config::Snapshot,
    config_sync::{ConfigReplica, StoreSchedule},
    ident::ServiceTag,
    membership::{
        BalancerAction, BalancerEvent, BalancerIdentity, Message, MessageClass, Settings, Traffic,
        agent_watch::AgentWatch, live_balancers::LiveBalancers, overlay::Overlay, wire,
    },
    roster::{BalancerRecord, Roster, Update},
    time::Timestamp,
};

/// The control state machine of a balancer.
///
/// It holds the roster of agents and balancers and the configuration in force, and propagates
/// changes of both over a few links to other balancers.
#[derive(Debug)]
pub struct BalancerNode {
    pub(super) settings: Settings,
    pub(super) peers: Vec<SocketAddrV4>,
    /// The balancer's own record, identical to the one in the roster.
    pub(super) record: BalancerRecord,
    pub(super) roster: Roster,
    pub(super) overlay: Overlay,
    pub(super) agent_watch: AgentWatch,
    pub(super) live_balancers: LiveBalancers,
    /// Whether a balancer's record or a notice changed since `live_balancers` was built.
    pub(super) live_balancers_outdated: bool,
    pub(super) config_replica: ConfigReplica,
    pub(super) store_schedule: StoreSchedule,
    /// When this balancer last received a message from a member of each failure domain.
    pub(super) domain_last_received: IndexMap<Arc<str>, Timestamp>,
    /// When this balancer last suspected a balancer of each failure domain.
    pub(super) domain_last_suspected: IndexMap<Arc<str>, Timestamp>,
    /// Whether the roster has not yet matched that of another balancer.
    pub(super) is_joining: bool,
    /// When the balancer stops joining even if its roster has matched no other.
    pub(super) join_deadline: Timestamp,
    /// When the balancer may read the store as a store reader while still joining.
    pub(super) store_reads_from: Timestamp,
    pub(super) next_round: Timestamp,
    pub(super) next_reconnect: Timestamp,
    pub(super) next_repair: Timestamp,
    pub(super) next_pull: Timestamp,
    /// When the last page of an incomplete configuration was received.
    pub(super) last_page_at: Timestamp,
    pub(super) last_round: Timestamp,
    pub(super) next_expiry: Timestamp,
    pub(super) changed_tags: IndexSet<ServiceTag>,
    pub(super) actions: Vec<BalancerAction>,
    pub(super) traffic: Traffic,
    pub(super) invariant_violations: u64,
    pub(super) rng: ChaCha8Rng,
}

impl BalancerNode {
    /// Creates the state machine of a balancer that starts at `now`.
    #[must_use]
    pub fn new(settings: Settings, identity: &BalancerIdentity, seed: u64, now: Timestamp) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let record = identity.record();
        let mut roster = Roster::new();
        let update = Update::Balancer {
            record: record.clone(),
            age_s: 0,
        };
        roster.merge(update, now);
        let store_schedule = StoreSchedule::new(settings.store_poll_interval, now, &mut rng);
        let store_start_delay = settings
            .store_start_delay
            .mul_f64(rng.random_range(1.0..2.0));
        let first_round = settings.round_interval.mul_f64(rng.random());
        Self {
            live_balancers: LiveBalancers::new(&roster, now),
            live_balancers_outdated: false,
            peers: identity.peers.clone(),
            record,
            roster,
            overlay: Overlay::default(),
            agent_watch: AgentWatch::default(),
            config_replica: ConfigReplica::new(),
            store_schedule,
            domain_last_received: IndexMap::new(),
            domain_last_suspected: IndexMap::new(),
            is_joining: true,
            join_deadline: now + Self::JOIN_TIMEOUT,
            store_reads_from: now + store_start_delay,
            next_round: now + first_round,
            next_reconnect: now,
            next_repair: now,
            next_pull: now,
            last_page_at: now,
            last_round: now,
            next_expiry: now + Self::EXPIRY_INTERVAL,
            changed_tags: IndexSet::new(),
            actions: Vec::new(),
            traffic: Traffic::default(),
            invariant_violations: 0,
            rng,
            settings,
        }
    }

    /// Time after which a joining balancer forwards received records even if its roster may be
    /// incomplete.
    const JOIN_TIMEOUT: Duration = Duration::from_secs(30);
    const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: BalancerEvent, now: Timestamp) -> Vec<BalancerAction> {
        match event {
            BalancerEvent::Tick => {}
            BalancerEvent::Received { from, payload } => self.on_payload(from, &payload, now),
            BalancerEvent::Unreachable { peer } => self.on_unreachable(peer, now),
            BalancerEvent::ConfigRead(snapshot) => self.on_config_read(&snapshot, now),
            BalancerEvent::ConfigUnchanged => self.on_store_reply(now),
            BalancerEvent::StoreUnreachable => self.on_store_failure(now),
        }
        if now >= self.next_round {
            self.on_round(now);
        }
        self.report_changes();
        std::mem::take(&mut self.actions)
    }

    /// Returns the latest time at which [`handle`](Self::handle) must be called again.
    #[must_use]
    pub const fn next_wakeup(&self) -> Timestamp {
        self.next_round
    }

    /// Returns the roster of agents and balancers.
    #[must_use]
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the configuration in force at this balancer.
    #[must_use]
    pub const fn config(&self) -> &Arc<Snapshot> {
        self.config_replica.snapshot()
    }

    /// Returns this balancer's own record.
    #[must_use]
    pub const fn record(&self) -> &BalancerRecord {
        &self.record
    }

    /// Returns the control addresses of the linked balancers.
    pub fn links(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.overlay.links.keys().copied()
    }

    /// Returns the number of watched agents.
    #[must_use]
    pub fn watched_agents(&self) -> usize {
        self.agent_watch.len()
    }

    /// Returns whether this balancer is one of the store readers of its failure domain.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        let domain = &self.record.failure_domain;
        self.live_balancers
            .is_store_reader(self.record.control, domain, &self.settings)
    }

    /// Returns the counters of sent and received messages.
    #[must_use]
    pub const fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Returns how many invariant violations were detected.
    #[must_use]
    pub const fn invariant_violations(&self) -> u64 {
        self.invariant_violations + self.config_replica.invariant_violations()
    }

    fn on_payload(&mut self, from: SocketAddrV4, payload: &[u8], now: Timestamp) {
        let Ok(message) = wire::decode(payload) else {
            self.traffic
                .count_received(MessageClass::Malformed, payload.len());
            return;
        };
        self.traffic.count_received(message.class(), payload.len());
        match message {
            Message::Heartbeat(it) => self.on_heartbeat(from, &it, now),
            Message::Keepalive(it) => self.on_keepalive(from, &it, now),
            Message::Push(it) => self.on_push(from, it, now),
            Message::RepairBranches(it) => self.on_repair_branches(from, &it),
            Message::RepairLeaves(it) => self.on_repair_leaves(from, &it),
            Message::RepairListing(it) => self.on_repair_listing(from, &it, now),
            Message::RepairRequest(it) => self.on_repair_request(from, &it, now),
            Message::ConfigPull(it) => self.on_config_pull(from, it),
            Message::ConfigPage(it) => self.on_config_page(from, it, now),
            Message::HeartbeatAck(_) | Message::Probe(_) => {}
        }
    }

    fn on_unreachable(&mut self, peer: SocketAddrV4, now: Timestamp) {
        self.agent_watch.on_unreachable(peer, &self.settings, now);
        self.on_link_unreachable(peer, now);
    }

    fn on_round(&mut self, now: Timestamp) {
        self.next_round = now + self.settings.round_interval;
        self.reset_timeouts_after_stall(now);
        if now >= self.next_expiry {
            self.next_expiry = now + Self::EXPIRY_INTERVAL;
            self.roster.expire(now);
        }
        self.is_joining &= now < self.join_deadline;
        self.scan_agents(now);
        self.scan_links(now);
        self.scan_pending_probes(now);
        self.detect_silent_domains(now);
        self.rebuild_live_balancers(now);
        self.open_links(now);
        self.reconnect(now);
        self.send_keepalives(now);
        self.push_changes(now);
        self.start_repair(now);
        self.propagate_config(now);
        self.read_store(now);
    }

    /// Restarts all timeouts if this process stalled, because messages that arrived in that time
    /// were not processed.
    fn reset_timeouts_after_stall(&mut self, now: Timestamp) {
        let pause = now.since(self.last_round);
        self.last_round = now;
        if pause > self.settings.round_interval + self.settings.agent_probe_timeout / 2 {
            self.agent_watch.reset_timeouts(now);
            self.overlay.reset_timeouts(now);
        }
    }

    fn report_changes(&mut self) {
        if !self.changed_tags.is_empty() {
            let tags = std::mem::take(&mut self.changed_tags);
            let tags = tags.into_iter().collect();
            self.actions.push(BalancerAction::RosterChanged(tags));
        }
    }

    pub(super) fn send(&mut self, to: SocketAddrV4, message: &Message) {
        let payload = wire::encode(message);
        self.traffic.count_sent(message.class(), payload.len());
        self.actions.push(BalancerAction::Send { to, payload });
    }
}
