mod configuration;
mod lookups;
mod view;

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use indexmap::IndexMap;

use super::{
    FlowId, LookupStep, PacketConfig, PacketRoute, PlacementChoice, RelayHeader, Segment,
    SteeringDecision, SteeringDropReason,
    agent_view::AgentView,
    flow_cache::{CachedFlow, FlowCache},
    lookup::Lookup,
    member_table::MemberTable,
    placement::Placement,
    query_outbox::QueryOutbox,
    seed_queries::SeedQueries,
};
use crate::{config::ConfigVersion, time::Timestamp};

/// The settings of a balancer's [`Steering`].
#[derive(Debug, Clone)]
pub struct SteeringSettings {
    /// The address where the balancer receives messages of agents.
    pub balancer: SocketAddrV4,
    /// The balancer's failure domain.
    pub failure_domain: Arc<str>,
    /// The cost of placing a new flow in another failure domain, in flows per slot.
    pub cross_domain_cost: f64,
    /// The balancers that the settings of agents name, as the addresses where they receive messages.
    /// Agents that the store does not list introduce themselves to them. This balancer may be one.
    pub seeds: Vec<SocketAddrV4>,
}

/// The state machine that decides on packets in a balancer.
///
/// An open flow reaches its owner even without any of this state: a balancer that has just started
/// queries the agents for owners, and agents report the flows that they own.
#[derive(Debug)]
pub struct Steering {
    settings: SteeringSettings,
    /// The configuration in force, whose version never decreases.
    config: Option<PacketConfig>,
    members: MemberTable,
    flows: FlowCache,
    /// The active lookups; at most [`Steering::MAX_LOOKUPS`].
    lookups: IndexMap<FlowId, Lookup>,
    queries: QueryOutbox,
    view: AgentView,
    seeds: SeedQueries,
    /// The latest start of a lookup that is suspended, until the next
    /// [`Steering::expire_lookups`] finds none.
    latest_suspended: Option<Timestamp>,
    /// When the store was last asked for the agents that it lists, for a lookup.
    last_store_check_at: Timestamp,
    /// A configuration that another balancer has, always newer than `config`.
    missed_config: Option<MissedConfig>,
}

/// A configuration that another balancer has and this one does not.
#[derive(Debug, Clone, Copy)]
struct MissedConfig {
    version: ConfigVersion,
    /// The balancer that has the configuration.
    source: SocketAddrV4,
    /// When the configuration may be fetched from the source.
    fetch_at: Timestamp,
}

impl Steering {
    /// How long an agent may leave a datagram unanswered before other agents are preferred.
    ///
    /// It covers three report intervals of an agent that receives packets, and the round trip.
    pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(700);

    /// How long every agent that was sent a datagram must be silent until the balancer treats
    /// itself as isolated.
    const ISOLATION_TIMEOUT: Duration = Duration::from_millis(900);

    /// How long after its last message an agent that the store does not list stays in the view. Its
    /// process may be restarted beside a backend server that is still running.
    const UNLISTED_GRACE_PERIOD: Duration = Duration::from_secs(10);

    /// How long an agent may send nothing before it is probed for a report.
    const PROBE_IDLE_TIME: Duration = Duration::from_millis(1_500);

    /// The maximum number of agents that are probed at once.
    const MAX_PROBES: usize = 16;

    /// The maximum number of concurrent lookups.
    const MAX_LOOKUPS: usize = 4_096;

    /// The minimum time between two checks of the agents that the store lists. One check serves all
    /// lookups that wait for it.
    const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

    /// The maximum number of agents in an answer about agents that the store does not list. One
    /// datagram has room for them.
    const MAX_UNLISTED: usize = 24;

    /// The maximum number of agents that introduce another one.
    const MAX_INTRODUCERS: usize = 3;

    /// How long a retransmitted opening segment goes to the same agent as the first one, whatever
    /// the state of that agent.
    const RETRANSMISSION_AFFINITY: Duration = Duration::from_millis(150);

    /// How long the store may take to deliver a configuration that another balancer has before it
    /// is fetched from there, and the pause between two fetches.
    const CONFIG_FETCH_DELAY: Duration = Duration::from_millis(400);

    /// The idle timeout of cached flows while no configuration is in force.
    const DEFAULT_FLOW_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

    /// Creates a balancer's state without configuration, agents and flows.
    #[must_use]
    pub fn new(settings: SteeringSettings, now: Timestamp) -> Self {
        let mut seeds = SeedQueries::default();
        seeds.set_seeds(settings.balancer, &settings.seeds);
        Self {
            view: AgentView::new(seeds.is_seed(), now),
            seeds,
            settings,
            config: None,
            members: MemberTable::default(),
            flows: FlowCache::default(),
            lookups: IndexMap::new(),
            queries: QueryOutbox::default(),
            latest_suspended: None,
            last_store_check_at: Timestamp::ZERO,
            missed_config: None,
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
        let decision = if segment.is_opening() {
            self.on_opening(segment, &route, now)
        } else {
            self.on_open_flow(segment, packet, &route, now)
        };
        self.record_sent(decision, version, now)
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
        let scored = placement.for_new_flow(hash, target);
        let cached = self.flows.get(&segment.flow, now);
        let earlier = cached.filter(|it| self.keeps_placement(it, now));
        let first = earlier.map(|it| it.agent);
        let candidates = first.into_iter().chain(scored.iter().map(|it| it.agent));
        let header = RelayHeader::new(self.settings.balancer, candidates)
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
            member.placed_since_report = member.placed_since_report.saturating_add(1);
        }
        SteeringDecision::Relay {
            header,
            placement: Some(choice),
        }
    }

    /// Returns whether a retransmitted opening segment goes to the same agent as the first one.
    fn keeps_placement(&self, cached: &CachedFlow, now: Timestamp) -> bool {
        if cached.confirmed || now.since(cached.placed_at) < Self::RETRANSMISSION_AFFINITY {
            return true;
        }
        let member = self.members.get(cached.agent);
        member.is_some_and(|it| {
            it.accepts_new_flows() && !it.is_silent(Self::RETRANSMISSION_AFFINITY, now)
        })
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
            return self.look_up(segment, packet, route, now);
        };
        let others = if cached.confirmed {
            Vec::new()
        } else {
            self.other_candidates(segment, route, now)
        };
        let candidates = std::iter::once(cached.agent).chain(others);
        let header =
            RelayHeader::new(self.settings.balancer, candidates).owner_confirmed(cached.confirmed);
        SteeringDecision::Relay {
            header,
            placement: None,
        }
    }

    /// Returns the agents that may have got an opening segment after the first agent refused it.
    fn other_candidates(
        &self,
        segment: &Segment,
        route: &PacketRoute,
        now: Timestamp,
    ) -> Vec<SocketAddrV4> {
        let hash = segment.flow.hash();
        let target = route.target(hash);
        let scored = target.map(|it| self.placement(now).for_new_flow(hash, it));
        let scored = scored.unwrap_or_default();
        scored.into_iter().map(|it| it.agent).collect()
    }

    /// Records the datagram that a decision sends, and sets its configuration version.
    fn record_sent(
        &mut self,
        decision: SteeringDecision,
        version: ConfigVersion,
        now: Timestamp,
    ) -> SteeringDecision {
        match decision {
            SteeringDecision::Relay { header, placement } => {
                let agent = header.target();
                if let Some(member) = agent.and_then(|it| self.members.get_mut(it)) {
                    member.on_sent(now);
                }
                SteeringDecision::Relay {
                    header: header.config(version),
                    placement,
                }
            }
            SteeringDecision::Query(_) | SteeringDecision::Buffered | SteeringDecision::Drop(_) => {
                decision
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

    /// Records that an agent owns a flow, and returns the next step of the flow's lookup.
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

    /// Removes expired flows and agents, and returns the removed agents.
    pub fn expire(&mut self, now: Timestamp) -> Vec<SocketAddrV4> {
        let idle_timeout = self
            .config
            .as_ref()
            .map_or(Self::DEFAULT_FLOW_IDLE_TIMEOUT, |it| it.idle_timeout);
        self.flows.expire(idle_timeout, now);
        self.members.expire(Self::UNLISTED_GRACE_PERIOD, now)
    }

    /// Returns the number of cached flows.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }
}
