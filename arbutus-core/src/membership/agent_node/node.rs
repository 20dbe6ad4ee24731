use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::home::Home;
use crate::{
    config::{ConfigVersion, Service},
    config_sync::VersionedService,
    membership::{
        AgentAction, AgentEvent, AgentIdentity, HeartbeatAck, Message, MessageClass, Settings,
        Traffic, wire,
    },
    roster::{AgentRecord, AgentState},
    time::Timestamp,
};

/// The control state machine of an agent.
///
/// It announces the agent to a few home balancers and receives from them the configuration of the
/// service and a list of the service's other agents. It never reads the store, and keeps using the
/// last received state while no balancer answers.
#[derive(Debug)]
pub struct AgentNode {
    pub(super) settings: Settings,
    /// The agent's own record, which no other node overwrites.
    pub(super) record: AgentRecord,
    /// The state requested by the agent itself, without the operator's overrides.
    pub(super) own_state: AgentState,
    /// The incarnation under which the agent may serve flows.
    pub(super) serving: Option<crate::ident::Incarnation>,
    /// Control addresses of the balancers in the settings.
    pub(super) configured_balancers: Vec<SocketAddrV4>,
    /// Balancers that may become homes, each with the end of its backoff after a failure.
    pub(super) known_balancers: IndexMap<SocketAddrV4, Timestamp>,
    pub(super) homes: Vec<Home>,
    /// The homes that a balancer last offered.
    pub(super) offered_homes: Vec<SocketAddrV4>,
    pub(super) service: Option<VersionedService>,
    /// The highest configuration version that a balancer reported.
    pub(super) config_version: ConfigVersion,
    pub(super) peers: Vec<AgentRecord>,
    pub(super) next_heartbeat: Timestamp,
    pub(super) next_peer_request: Timestamp,
    pub(super) next_home_request: Timestamp,
    /// Counter that selects the home to ask for peers and homes, so that the homes take turns.
    pub(super) request_turn: usize,
    pub(super) actions: Vec<AgentAction>,
    pub(super) traffic: Traffic,
    pub(super) invariant_violations: u64,
    pub(super) rng: ChaCha8Rng,
}

impl AgentNode {
    /// Creates the state machine of an agent that starts at `now`.
    #[must_use]
    pub fn new(settings: Settings, identity: &AgentIdentity, seed: u64, now: Timestamp) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let phase = (settings.heartbeat_interval / 5).mul_f64(rng.random());
        let known_balancers = identity.balancers.iter().map(|it| (*it, Timestamp::ZERO));
        Self {
            record: identity.record(),
            own_state: AgentState::Ready,
            serving: None,
            configured_balancers: identity.balancers.clone(),
            known_balancers: known_balancers.collect(),
            homes: Vec::new(),
            offered_homes: Vec::new(),
            service: None,
            config_version: ConfigVersion::NONE,
            peers: Vec::new(),
            next_heartbeat: now + phase,
            next_peer_request: now,
            next_home_request: now,
            request_turn: 0,
            actions: Vec::new(),
            traffic: Traffic::default(),
            invariant_violations: 0,
            rng,
            settings,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: AgentEvent, now: Timestamp) -> Vec<AgentAction> {
        match event {
            AgentEvent::Tick => {}
            AgentEvent::Received { from, payload } => self.on_payload(from, &payload, now),
            AgentEvent::Unreachable { peer } => self.on_unreachable(peer, now),
        }
        if now >= self.next_heartbeat {
            self.on_heartbeat_due(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the latest time at which [`handle`](Self::handle) must be called again.
    #[must_use]
    pub const fn next_wakeup(&self) -> Timestamp {
        self.next_heartbeat
    }

    /// Announces that the agent takes no new flows from now on.
    pub fn drain(&mut self, now: Timestamp) -> Vec<AgentAction> {
        self.set_own_state(AgentState::Draining, now)
    }

    /// Announces that the agent has left; to be called after its last flow has ended.
    pub fn leave(&mut self, now: Timestamp) -> Vec<AgentAction> {
        self.set_own_state(AgentState::Gone, now)
    }

    /// Returns whether a balancer has acknowledged that the agent has left.
    #[must_use]
    pub fn has_left(&self) -> bool {
        let rank = self.record.rank();
        let is_gone = self.record.state == AgentState::Gone;
        is_gone && self.homes.iter().any(|it| it.acknowledged == Some(rank))
    }

    /// Returns the agent's own record.
    #[must_use]
    pub const fn record(&self) -> &AgentRecord {
        &self.record
    }

    /// Returns the incarnation under which flows may be served, once a balancer has accepted it.
    #[must_use]
    pub const fn serving(&self) -> Option<crate::ident::Incarnation> {
        self.serving
    }

    /// Returns the configuration of the service, once it has been received.
    #[must_use]
    pub fn service(&self) -> Option<&Arc<Service>> {
        self.service.as_ref().map(|it| &it.service)
    }

    /// Returns the highest configuration version that a balancer reported.
    #[must_use]
    pub const fn config_version(&self) -> ConfigVersion {
        self.config_version
    }

    /// Returns other agents of the service, or a sample if there are many.
    #[must_use]
    pub fn peers(&self) -> &[AgentRecord] {
        &self.peers
    }

    /// Returns the control addresses of the home balancers.
    pub fn homes(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.homes.iter().map(|home| home.control)
    }

    /// Returns the counters of sent and received messages.
    #[must_use]
    pub const fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Returns how many invariant violations were detected.
    #[must_use]
    pub const fn invariant_violations(&self) -> u64 {
        self.invariant_violations
    }

    fn on_payload(&mut self, from: SocketAddrV4, payload: &[u8], now: Timestamp) {
        let Ok(message) = wire::decode(payload) else {
            self.traffic
                .count_received(MessageClass::Malformed, payload.len());
            return;
        };
        self.traffic.count_received(message.class(), payload.len());
        match message {
            Message::HeartbeatAck(ack) if self.accepts_ack(&ack) => self.on_ack(from, ack, now),
            Message::Probe(tunnel) if tunnel == self.record.tunnel => {
                self.send_heartbeat(from, now);
            }
            _ => {}
        }
    }

    /// Returns whether the acknowledgement is addressed to this agent and not to a previous one at
    /// the same address.
    fn accepts_ack(&self, ack: &HeartbeatAck) -> bool {
        ack.tunnel == self.record.tunnel && ack.incarnation == self.record.incarnation
    }

    fn on_ack(&mut self, from: SocketAddrV4, ack: HeartbeatAck, now: Timestamp) {
        self.record_ack(from, ack.known_rank, now);
        self.reconcile_rank(&ack, now);
        self.config_version = self.config_version.max(ack.config_version);
        if let Some(service) = ack.service {
            self.adopt_service(service, now);
        }
        if let Some(peers) = ack.peers {
            self.adopt_peers(peers, now);
        }
        if let Some(offer) = ack.homes {
            self.adopt_home_offer(&offer, now);
        }
    }

    fn adopt_service(&mut self, offered: VersionedService, now: Timestamp) {
        if offered.service.tag() != self.record.tag {
            self.invariant_violations += 1;
            return;
        }
        let held = self.service_version();
        if offered.version <= held {
            return;
        }
        let is_changed = self.service() != Some(&offered.service);
        self.service = Some(offered.clone());
        if is_changed {
            self.actions
                .push(AgentAction::ServiceChanged(offered.service));
            self.apply_requested_state(now);
        }
    }

    fn adopt_peers(&mut self, peers: Vec<AgentRecord>, now: Timestamp) {
        let tag = self.record.tag;
        let own = self.record.tunnel;
        let peers: Vec<AgentRecord> = peers
            .into_iter()
            .filter(|peer| peer.tag == tag && peer.tunnel != own)
            .collect();
        self.next_peer_request = now + self.settings.peer_refresh_interval;
        if peers.is_empty() {
            self.next_peer_request = now + Self::NO_PEERS_REFRESH_INTERVAL;
        }
        if peers != self.peers {
            self.peers.clone_from(&peers);
            self.actions.push(AgentAction::PeersChanged(peers));
        }
    }

    /// Time between two peer requests while the agent has no peers.
    const NO_PEERS_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

    pub(super) fn service_version(&self) -> ConfigVersion {
        self.service
            .as_ref()
            .map_or(ConfigVersion::NONE, |it| it.version)
    }

    fn on_heartbeat_due(&mut self, now: Timestamp) {
        self.reset_timeouts_after_stall(now);
        self.next_heartbeat = now + self.settings.heartbeat_interval;
        self.review_homes(now);
        self.send_heartbeats(now);
    }

    pub(super) fn send(&mut self, to: SocketAddrV4, message: &Message) {
        let payload = wire::encode(message);
        self.traffic.count_sent(message.class(), payload.len());
        self.actions.push(AgentAction::Send { to, payload });
    }
}
