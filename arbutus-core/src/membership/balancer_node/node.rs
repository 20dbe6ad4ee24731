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
        agent_watch::AgentWatch, home_list::HomeList, overlay::Overlay, wire,
    },
    roster::{BalancerRecord, Roster, Update},
    time::Timestamp,
};

/// The balancer's control machine.
///
/// It keeps the roster of agents and balancers and the configuration in force, and spreads changes
/// of both over a few links to other balancers.
#[derive(Debug)]
pub struct BalancerNode {
    pub(super) settings: Settings,
    pub(super) peers: Vec<SocketAddrV4>,
    /// Its own record; the same as in the roster.
    pub(super) record: BalancerRecord,
    pub(super) roster: Roster,
    pub(super) overlay: Overlay,
    pub(super) watch: AgentWatch,
    pub(super) homes: HomeList,
    /// Whether balancers came, went or changed since `homes` was made.
    pub(super) homes_outdated: bool,
    pub(super) book: ConfigReplica,
    pub(super) store: StoreSchedule,
    /// When a member of each failure domain was last heard here.
    pub(super) heard: IndexMap<Arc<str>, Timestamp>,
    /// When a balancer of each failure domain last became suspect by this one's word.
    pub(super) suspected: IndexMap<Arc<str>, Timestamp>,
    /// Whether the roster has not yet equalled that of another balancer.
    pub(super) is_joining: bool,
    /// When it counts as joined in any case.
    pub(super) joined_by: Timestamp,
    /// When it takes itself for a reader of the store though it may know no other balancers.
    pub(super) reads_from: Timestamp,
    pub(super) next_round: Timestamp,
    pub(super) next_reconnect: Timestamp,
    pub(super) next_repair: Timestamp,
    pub(super) next_pull: Timestamp,
    /// When the last page of a configuration came that is not yet whole.
    pub(super) last_page: Timestamp,
    pub(super) last_round: Timestamp,
    pub(super) next_expiry: Timestamp,
    pub(super) changed_tags: IndexSet<ServiceTag>,
    pub(super) actions: Vec<BalancerAction>,
    pub(super) traffic: Traffic,
    pub(super) invariant_violations: u64,
    pub(super) rng: ChaCha8Rng,
}

impl BalancerNode {
    /// Makes the machine of a balancer that starts now.
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
        let store = StoreSchedule::new(settings.store_poll_interval, now, &mut rng);
        let store_pause = settings
            .store_start_delay
            .mul_f64(rng.random_range(1.0..2.0));
        let first_round = settings.round_interval.mul_f64(rng.random());
        Self {
            homes: HomeList::new(&roster, now),
            homes_outdated: false,
            peers: identity.peers.clone(),
            record,
            roster,
            overlay: Overlay::default(),
            watch: AgentWatch::default(),
            book: ConfigReplica::new(),
            store,
            heard: IndexMap::new(),
            suspected: IndexMap::new(),
            is_joining: true,
            joined_by: now + Self::JOIN_LIMIT,
            reads_from: now + store_pause,
            next_round: now + first_round,
            next_reconnect: now,
            next_repair: now,
            next_pull: now,
            last_page: now,
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

    /// Time after which a balancer sends on what it learns, though it may not know all.
    const JOIN_LIMIT: Duration = Duration::from_secs(30);
    const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

    /// Takes in what happened and tells what is to be done.
    pub fn handle(&mut self, event: BalancerEvent, now: Timestamp) -> Vec<BalancerAction> {
        match event {
            BalancerEvent::Tick => {}
            BalancerEvent::Received { from, payload } => self.on_payload(from, &payload, now),
            BalancerEvent::Unreachable { peer } => self.on_unreachable(peer, now),
            BalancerEvent::ConfigRead(snapshot) => self.on_config_read(&snapshot, now),
            BalancerEvent::ConfigUnchanged => self.on_store_answer(now),
            BalancerEvent::StoreUnreachable => self.on_store_failure(now),
        }
        if now >= self.next_round {
            self.on_round(now);
        }
        self.report_changes();
        std::mem::take(&mut self.actions)
    }

    /// When [`handle`](Self::handle) wants to be called again at the latest.
    #[must_use]
    pub const fn next_wakeup(&self) -> Timestamp {
        self.next_round
    }

    /// The agents and balancers known here.
    #[must_use]
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// The configuration in force here.
    #[must_use]
    pub const fn config(&self) -> &Arc<Snapshot> {
        self.book.snapshot()
    }

    /// This balancer's own record.
    #[must_use]
    pub const fn record(&self) -> &BalancerRecord {
        &self.record
    }

    /// Control addresses of the balancers it is linked to.
    pub fn links(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.overlay.links.keys().copied()
    }

    /// How many agents it watches.
    #[must_use]
    pub fn watched_agents(&self) -> usize {
        self.watch.len()
    }

    /// Whether it is one of its failure domain's readers of the store.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        let domain = &self.record.failure_domain;
        self.homes
            .is_reader(self.record.control, domain, &self.settings)
    }

    /// What it has sent and received.
    #[must_use]
    pub const fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// How often something came up that must never be.
    #[must_use]
    pub const fn invariant_violations(&self) -> u64 {
        self.invariant_violations + self.book.invariant_violations()
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
        self.watch.unreachable(peer, &self.settings, now);
        self.on_link_unreachable(peer, now);
    }

    fn on_round(&mut self, now: Timestamp) {
        self.next_round = now + self.settings.round_interval;
        self.forgive_own_pause(now);
        if now >= self.next_expiry {
            self.next_expiry = now + Self::EXPIRY_INTERVAL;
            self.roster.expire(now);
        }
        self.is_joining &= now < self.joined_by;
        self.scan_agents(now);
        self.scan_links(now);
        self.scan_greetings(now);
        self.judge_domains(now);
        self.renew_homes(now);
        self.open_links(now);
        self.reconnect(now);
        self.send_keepalives(now);
        self.push_changes(now);
        self.begin_repair(now);
        self.spread_config(now);
        self.read_store(now);
    }

    /// Counts silence from now on where this process itself did not run for a while.
    fn forgive_own_pause(&mut self, now: Timestamp) {
        let pause = now.since(self.last_round);
        self.last_round = now;
        if pause > self.settings.round_interval + self.settings.agent_probe_timeout / 2 {
            self.watch.restart(now);
            self.overlay.restart(now);
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
