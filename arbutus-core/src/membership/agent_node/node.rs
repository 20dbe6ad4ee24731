use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::known_balancer::Home;
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

/// The agent's announcer.
///
/// It tells a few balancers that the agent runs, and learns from them the service's configuration
/// and the service's other agents. It never asks the store, and goes on with what it has while no
/// balancer answers.
#[derive(Debug)]
pub struct AgentNode {
    pub(super) settings: Settings,
    /// Its own record; nobody else changes it.
    pub(super) record: AgentRecord,
    /// What the agent itself wants.
    pub(super) own_word: AgentState,
    /// The incarnation under which flows may be served.
    pub(super) serving: Option<crate::ident::Incarnation>,
    /// Balancers named by the settings.
    pub(super) configured: Vec<SocketAddrV4>,
    /// Balancers that may become homes, and until when they are left alone after a failure.
    pub(super) known: IndexMap<SocketAddrV4, Timestamp>,
    pub(super) homes: Vec<Home>,
    /// The homes that a balancer last offered.
    pub(super) offered: Vec<SocketAddrV4>,
    pub(super) service: Option<VersionedService>,
    /// The highest version that a balancer told of.
    pub(super) config_version: ConfigVersion,
    pub(super) peers: Vec<AgentRecord>,
    pub(super) next_heartbeat: Timestamp,
    pub(super) next_peers: Timestamp,
    pub(super) next_homes: Timestamp,
    /// The home to be asked for peers or homes.
    pub(super) turn: usize,
    pub(super) actions: Vec<AgentAction>,
    pub(super) traffic: Traffic,
    pub(super) invariant_violations: u64,
    pub(super) rng: ChaCha8Rng,
}

impl AgentNode {
    /// Makes the announcer of an agent that starts now.
    #[must_use]
    pub fn new(settings: Settings, identity: &AgentIdentity, seed: u64, now: Timestamp) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let phase = (settings.heartbeat_interval / 5).mul_f64(rng.random());
        let known = identity.balancers.iter().map(|it| (*it, Timestamp::ZERO));
        Self {
            record: identity.record(),
            own_word: AgentState::Ready,
            serving: None,
            configured: identity.balancers.clone(),
            known: known.collect(),
            homes: Vec::new(),
            offered: Vec::new(),
            service: None,
            config_version: ConfigVersion::NONE,
            peers: Vec::new(),
            next_heartbeat: now + phase,
            next_peers: now,
            next_homes: now,
            turn: 0,
            actions: Vec::new(),
            traffic: Traffic::default(),
            invariant_violations: 0,
            rng,
            settings,
        }
    }

    /// Takes in what happened and tells what is to be done.
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

    /// When [`handle`](Self::handle) wants to be called again at the latest.
    #[must_use]
    pub const fn next_wakeup(&self) -> Timestamp {
        self.next_heartbeat
    }

    /// Says that the agent takes no new flows from now on.
    pub fn drain(&mut self, now: Timestamp) -> Vec<AgentAction> {
        self.say(AgentState::Draining, now)
    }

    /// Says that the agent has ended; to be called when its last flow has.
    pub fn leave(&mut self, now: Timestamp) -> Vec<AgentAction> {
        self.say(AgentState::Gone, now)
    }

    /// Whether a balancer knows that the agent has ended.
    #[must_use]
    pub fn has_left(&self) -> bool {
        let rank = self.record.rank();
        let is_gone = self.record.state == AgentState::Gone;
        is_gone && self.homes.iter().any(|it| it.acknowledged == Some(rank))
    }

    /// The agent's own record.
    #[must_use]
    pub const fn record(&self) -> &AgentRecord {
        &self.record
    }

    /// The incarnation under which flows may be served, once a balancer has taken it.
    #[must_use]
    pub const fn serving(&self) -> Option<crate::ident::Incarnation> {
        self.serving
    }

    /// The service's configuration, once it is known.
    #[must_use]
    pub fn service(&self) -> Option<&Arc<Service>> {
        self.service.as_ref().map(|it| &it.service)
    }

    /// The highest version of the configuration that a balancer told of.
    #[must_use]
    pub const fn config_version(&self) -> ConfigVersion {
        self.config_version
    }

    /// Other agents of the service, a sample where there are many.
    #[must_use]
    pub fn peers(&self) -> &[AgentRecord] {
        &self.peers
    }

    /// Control addresses of its home balancers.
    pub fn homes(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.homes.iter().map(|home| home.control)
    }

    /// What it has sent and received.
    #[must_use]
    pub const fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// How often something came up that must never be.
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
            Message::HeartbeatAck(ack) if self.is_answered_by(&ack) => self.on_ack(from, ack, now),
            Message::Probe(tunnel) if tunnel == self.record.tunnel => {
                self.send_heartbeat(from, now);
            }
            _ => {}
        }
    }

    /// Whether the answer is to this agent, and not to one that had its address before.
    fn is_answered_by(&self, ack: &HeartbeatAck) -> bool {
        ack.tunnel == self.record.tunnel && ack.incarnation == self.record.incarnation
    }

    fn on_ack(&mut self, from: SocketAddrV4, ack: HeartbeatAck, now: Timestamp) {
        self.note_answer(from, ack.known_rank, now);
        self.compare_rank(&ack, now);
        self.config_version = self.config_version.max(ack.config_version);
        if let Some(service) = ack.service {
            self.take_service(service, now);
        }
        if let Some(peers) = ack.peers {
            self.take_peers(peers, now);
        }
        if let Some(offer) = ack.homes {
            self.take_offer(&offer, now);
        }
    }

    fn take_service(&mut self, offered: VersionedService, now: Timestamp) {
        if offered.service.tag() != self.record.tag {
            self.invariant_violations += 1;
            return;
        }
        let held = self.service_version();
        if offered.version <= held {
            return;
        }
        let is_news = self.service() != Some(&offered.service);
        self.service = Some(offered.clone());
        if is_news {
            self.actions
                .push(AgentAction::ServiceChanged(offered.service));
            self.follow_words(now);
        }
    }

    fn take_peers(&mut self, peers: Vec<AgentRecord>, now: Timestamp) {
        let tag = self.record.tag;
        let own = self.record.tunnel;
        let peers: Vec<AgentRecord> = peers
            .into_iter()
            .filter(|peer| peer.tag == tag && peer.tunnel != own)
            .collect();
        self.next_peers = now + self.settings.peer_refresh_interval;
        if peers.is_empty() {
            self.next_peers = now + Self::PEERLESS_REFRESH;
        }
        if peers != self.peers {
            self.peers.clone_from(&peers);
            self.actions.push(AgentAction::PeersChanged(peers));
        }
    }

    /// Time between two requests for peers of an agent that knows none.
    const PEERLESS_REFRESH: Duration = Duration::from_secs(1);

    pub(super) fn service_version(&self) -> ConfigVersion {
        self.service
            .as_ref()
            .map_or(ConfigVersion::NONE, |it| it.version)
    }

    fn on_heartbeat_due(&mut self, now: Timestamp) {
        self.forgive_own_pause(now);
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
