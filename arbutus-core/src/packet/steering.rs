mod searching;

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::IndexMap;

use super::{
    AgentListing, AgentReport, FlowId, LookupStep, MemberChange, PacketConfig, PacketRoute,
    PeerSnapshot, PlacementChoice, RelayHeader, Segment, SteeringDecision, SteeringDropReason,
    flow_cache::{CachedFlow, FlowCache},
    member::Member,
    member_table::MemberTable,
    placement::Placement,
    query_outbox::QueryOutbox,
    search::Search,
    view::View,
};
use crate::{config::ConfigVersion, time::Timestamp};

/// What distinguishes one balancer from another.
#[derive(Debug, Clone)]
pub struct SteeringSettings {
    /// Where agents send what they have to say.
    pub balancer: SocketAddrV4,
    /// The balancer's failure domain.
    pub failure_domain: Arc<str>,
    /// What an agent in another failure domain costs a new flow, in flows for each slot.
    pub cross_domain_cost: f64,
}

/// A balancer's decisions on packets whose flows name no owner.
///
/// Nothing that it knows is needed for an open flow to reach its agent: a balancer that has just
/// started sends packets along the candidates, and agents tell it where the flows are.
#[derive(Debug)]
pub struct Steering {
    settings: SteeringSettings,
    /// Its version never falls.
    config: Option<PacketConfig>,
    members: MemberTable,
    flows: FlowCache,
    /// At most [`Steering::MAX_SEARCHES`].
    searches: IndexMap<FlowId, Search>,
    queries: QueryOutbox,
    view: View,
    /// A configuration that others have; always newer than `config`.
    missed: Option<MissedConfig>,
}

/// A configuration that some balancer has and this one has not.
#[derive(Debug, Clone, Copy)]
struct MissedConfig {
    version: ConfigVersion,
    holder: SocketAddrV4,
    /// When the holder may be asked for it.
    ask_at: Timestamp,
}

impl Steering {
    /// How long an agent may leave datagrams unanswered before others are asked first.
    ///
    /// Three reports of an agent that has packets, and the way there and back.
    pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(700);

    /// Silence of every agent that was sent something, after which the balancer takes itself for
    /// cut off.
    const ISOLATION: Duration = Duration::from_millis(900);

    /// How long an agent that the store does not list is kept after it was last heard: its process
    /// may start again beside a backend server that has lived on.
    const UNLISTED: Duration = Duration::from_secs(10);

    /// How long nothing may be heard of an agent before it is asked for a report.
    const QUIET: Duration = Duration::from_millis(1_500);

    /// Most agents that are asked at one time.
    const PROBES: usize = 16;

    /// Most flows that are searched at one time.
    const MAX_SEARCHES: usize = 4_096;

    /// How many agents make another one known.
    const INTRODUCERS: usize = 3;

    /// How long a copy of an opening segment follows the first one whatever becomes of the agent.
    const COPY_FOLLOWS: Duration = Duration::from_millis(150);

    /// How long the store gets to bring a configuration that others have, and pause between two
    /// questions.
    const MISSED_CONFIG: Duration = Duration::from_millis(400);

    /// How long flows are remembered while no configuration says otherwise.
    const IDLE: Duration = Duration::from_secs(15);

    /// Makes a balancer that knows nothing yet.
    #[must_use]
    pub fn new(settings: SteeringSettings, now: Timestamp) -> Self {
        Self {
            settings,
            config: None,
            members: MemberTable::default(),
            flows: FlowCache::default(),
            searches: IndexMap::new(),
            queries: QueryOutbox::default(),
            view: View::new(now),
            missed: None,
        }
    }

    /// Decides on a packet of a caller.
    pub fn on_packet(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        now: Timestamp,
    ) -> SteeringDecision {
        if segment.is_accepting() {
            return SteeringDecision::Drop(SteeringDropReason::NotACaller);
        }
        let Some(config) = &self.config else {
            return SteeringDecision::Drop(SteeringDropReason::NoConfig);
        };
        let Some(route) = config.routes.get(&segment.flow.service) else {
            return SteeringDecision::Drop(SteeringDropReason::NoRoute);
        };
        let (version, route) = (config.version, route.clone());
        let steer = if segment.is_opening() {
            self.on_opening(segment, &route, now)
        } else {
            self.on_open_flow(segment, packet, &route, now)
        };
        self.sent(steer, version, now)
    }

    fn on_opening(
        &mut self,
        segment: &Segment,
        route: &PacketRoute,
        now: Timestamp,
    ) -> SteeringDecision {
        let hash = segment.flow.hash();
        let Some(target) = route.target(hash) else {
            return SteeringDecision::Drop(SteeringDropReason::NoAgent);
        };
        let placement = self.placement(now);
        let scored = placement.for_opening(hash, target);
        let cached = self.flows.get(&segment.flow, now);
        let follows = cached.filter(|it| self.copy_follows(it, now));
        let first = follows.map(|it| it.agent);
        let order = first.into_iter().chain(scored.iter().map(|it| it.agent));
        let header = RelayHeader::new(self.settings.balancer, order)
            .service(target.tag)
            .owner_confirmed(cached.is_some_and(|it| it.confirmed));
        let Some(agent) = header.target() else {
            return SteeringDecision::Drop(SteeringDropReason::NoAgent);
        };
        if first.is_some() {
            return SteeringDecision::Relay {
                header,
                placement: None,
            };
        }
        let best = scored.first();
        let choice = PlacementChoice {
            route: route.name.clone(),
            service: target.name.clone(),
            agent,
            score: best.map_or(0.0, |it| it.score),
            weighed: scored.len(),
            report_age: best.and_then(|it| it.report_age),
        };
        self.flows.place(segment.flow, agent, now);
        if let Some(member) = self.members.get_mut(agent) {
            member.placed = member.placed.saturating_add(1);
        }
        SteeringDecision::Relay {
            header,
            placement: Some(choice),
        }
    }

    /// Whether a copy of an opening segment goes where the first one went.
    fn copy_follows(&self, cached: &CachedFlow, now: Timestamp) -> bool {
        if cached.confirmed || now.since(cached.placed_at) < Self::COPY_FOLLOWS {
            return true;
        }
        let heard = self.members.get(cached.agent);
        heard.is_some_and(|it| it.accepts_new_flows() && !it.is_silent(Self::COPY_FOLLOWS, now))
    }

    fn on_open_flow(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        route: &PacketRoute,
        now: Timestamp,
    ) -> SteeringDecision {
        let cached = self.flows.get(&segment.flow, now);
        let cached = cached.filter(|it| self.members.get(it.agent).is_some());
        let Some(cached) = cached else {
            return self.search(segment, packet, route, now);
        };
        let others = if cached.confirmed {
            Vec::new()
        } else {
            self.others(segment, route, now)
        };
        let order = std::iter::once(cached.agent).chain(others);
        let header =
            RelayHeader::new(self.settings.balancer, order).owner_confirmed(cached.confirmed);
        SteeringDecision::Relay {
            header,
            placement: None,
        }
    }

    /// Where an opening segment may have gone after the first agent refused it.
    fn others(&self, segment: &Segment, route: &PacketRoute, now: Timestamp) -> Vec<SocketAddrV4> {
        let hash = segment.flow.hash();
        let target = route.target(hash);
        let scored = target.map(|it| self.placement(now).for_opening(hash, it));
        let scored = scored.unwrap_or_default();
        scored.into_iter().map(|it| it.agent).collect()
    }

    /// Notes what is about to be sent.
    fn sent(
        &mut self,
        steer: SteeringDecision,
        version: ConfigVersion,
        now: Timestamp,
    ) -> SteeringDecision {
        match steer {
            SteeringDecision::Relay { header, placement } => {
                let agent = header.target();
                if let Some(member) = agent.and_then(|it| self.members.get_mut(it)) {
                    member.note_sent(now);
                }
                SteeringDecision::Relay {
                    header: header.config(version),
                    placement,
                }
            }
            SteeringDecision::Query(_) | SteeringDecision::Buffered | SteeringDecision::Drop(_) => {
                steer
            }
        }
    }

    fn placement(&self, now: Timestamp) -> Placement<'_> {
        Placement {
            members: &self.members,
            failure_domain: &self.settings.failure_domain,
            cross_domain_cost: self.settings.cross_domain_cost,
            now,
        }
    }

    /// Takes in a configuration; gives `false` where it is not newer than the present one.
    pub fn on_config(&mut self, config: PacketConfig) -> bool {
        if config.version <= self.config_version() {
            return false;
        }
        self.config = Some(config);
        self.missed = None;
        true
    }

    /// Whether it is time to ask another balancer for a configuration.
    #[must_use]
    pub fn is_config_fetch_due(&self, now: Timestamp) -> bool {
        self.missed.is_some_and(|it| it.ask_at <= now)
    }

    /// Whether a configuration is in force.
    #[must_use]
    pub const fn has_config(&self) -> bool {
        self.config.is_some()
    }

    /// The balancer to ask for a configuration that the store has not brought, if it is time.
    pub fn take_config_source(&mut self, now: Timestamp) -> Option<SocketAddrV4> {
        let missed = self.missed.as_mut().filter(|it| it.ask_at <= now)?;
        missed.ask_at = now + Self::MISSED_CONFIG;
        Some(missed.holder)
    }

    fn note_missed(&mut self, report: &AgentReport, now: Timestamp) {
        let Some(holder) = report.config_source else {
            return;
        };
        let known = self.missed.map_or(self.config_version(), |it| it.version);
        if report.config > known {
            let ask_at = now + Self::MISSED_CONFIG;
            self.missed = Some(MissedConfig {
                version: report.config,
                holder,
                ask_at: self.missed.map_or(ask_at, |it| it.ask_at),
            });
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn config_version(&self) -> ConfigVersion {
        self.config
            .as_ref()
            .map_or(ConfigVersion::NONE, |it| it.version)
    }

    /// Takes in that the store lists an agent.
    pub fn on_listed(&mut self, listing: &AgentListing, now: Timestamp) -> MemberChange {
        self.members.list(listing, now)
    }

    /// Takes in that the store no longer lists an agent.
    pub fn on_unlisted(&mut self, agent: SocketAddrV4) -> MemberChange {
        self.members.unlist(agent)
    }

    /// Takes in that the store lists exactly these agents.
    pub fn on_full_listing(&mut self, listings: &[AgentListing], now: Timestamp) {
        for member in self.members.iter_mut() {
            member.listed = false;
        }
        for listing in listings {
            self.members.list(listing, now);
        }
    }

    /// Takes in an agent's own word.
    pub fn on_report(&mut self, report: AgentReport, now: Timestamp) -> MemberChange {
        self.note_missed(&report, now);
        self.members.report(report, now)
    }

    /// Agents that are to make known one that the store does not list.
    #[must_use]
    pub fn introducers(&self, newcomer: SocketAddrV4) -> Vec<SocketAddrV4> {
        if self.members.get(newcomer).is_none_or(|it| it.listed) {
            return Vec::new();
        }
        let others = self.members.iter().filter(|it| it.agent != newcomer);
        let others = others.filter(|it| it.heard_at.is_some());
        others.map(|it| it.agent).take(Self::INTRODUCERS).collect()
    }

    /// Notes that the store answers, or that it does not.
    pub fn on_store_status(&mut self, answers: bool, now: Timestamp) {
        self.view.on_store(answers, now);
    }

    /// Whether what other balancers know has been asked for late enough after the start.
    #[must_use]
    pub fn is_synced_with_peers(&self, now: Timestamp) -> bool {
        self.view.knows_peers(now)
    }

    /// Whether other balancers are to be asked what they know.
    #[must_use]
    pub fn needs_peer_sync(&self, now: Timestamp) -> bool {
        self.view.needs_peers(now)
    }

    /// Takes in which agents another balancer knows, and whether it trusts that these are all.
    pub fn on_peer_agents(&mut self, agents: &[AgentListing], settled: bool, now: Timestamp) {
        for agent in agents {
            self.members.tell(agent, now);
        }
        self.view.on_peer(settled, now);
    }

    /// Takes in that an agent holds a flow; gives what is to be done with packets that waited.
    pub fn on_flow_owned(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowId,
        open: bool,
        now: Timestamp,
    ) -> LookupStep {
        if open {
            return self.on_found(agent, flow, now);
        }
        if !self.flows.get(&flow, now).is_some_and(|it| it.confirmed) {
            self.flows.place(flow, agent, now);
        }
        LookupStep::Wait
    }

    /// Agents to ask for a report now; call it a few times a second.
    pub fn take_probes(&mut self, now: Timestamp) -> Vec<SocketAddrV4> {
        let quiet = self
            .members
            .iter_mut()
            .filter(|it| it.quiet_for(now) >= Self::QUIET)
            .take(Self::PROBES);
        quiet
            .map(|member| {
                member.note_sent(now);
                member.agent
            })
            .collect()
    }

    /// Forgets what is too old, and gives the agents that are no longer known.
    pub fn expire(&mut self, now: Timestamp) -> Vec<SocketAddrV4> {
        let idle = self
            .config
            .as_ref()
            .map_or(Self::IDLE, |it| it.idle_timeout);
        self.flows.expire(idle, now);
        self.members.expire(Self::UNLISTED, now)
    }

    /// Whether no agent answers, so that callers are better served by other balancers.
    #[must_use]
    pub fn is_isolated(&self, now: Timestamp) -> bool {
        let mut silent = 0_usize;
        for member in self.members.iter() {
            if member.quiet_for(now) < Self::ISOLATION {
                return false;
            }
            silent += usize::from(member.is_silent(Self::ISOLATION, now));
        }
        // One agent alone may have ended by itself.
        silent >= 2
    }

    /// What a balancer that cannot reach the store may start from.
    #[must_use]
    pub fn snapshot(&self, now: Timestamp) -> PeerSnapshot {
        let holders = self.members.iter().filter(|it| it.may_hold());
        PeerSnapshot {
            settled: self.view.is_complete(now),
            config: self.config.clone(),
            agents: holders.map(Member::listing).collect(),
        }
    }

    /// How many agents are known.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// How many flows are remembered.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }
}
