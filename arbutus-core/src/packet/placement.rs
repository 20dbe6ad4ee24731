use std::{collections::VecDeque, net::SocketAddrV4, time::Duration};

use super::{PacketRoute, RouteTarget, Steering, member::Member, member_table::MemberTable};
use crate::{route, time::Timestamp};

/// The ranking of agents for a flow.
#[derive(Debug, Clone, Copy)]
pub(super) struct Placement<'a> {
    pub(super) members: &'a MemberTable,
    pub(super) failure_domain: &'a str,
    /// The cost of an agent in another failure domain, in flows per slot.
    pub(super) cross_domain_cost: f64,
    pub(super) now: Timestamp,
}

/// The agents that may own an open flow.
#[derive(Debug)]
pub(super) struct LookupCandidates {
    /// The responsive agents in the order of the queries; no stage is empty. The first stages
    /// contain the agents among which the flow was probably placed, those in the balancer's failure
    /// domain before the others.
    pub(super) stages: VecDeque<Vec<SocketAddrV4>>,
    /// The agents that have left datagrams unanswered. They are queried, but the lookup does not
    /// wait for their answers.
    pub(super) silent: Vec<SocketAddrV4>,
    /// Whether `stages` contains every agent that may own the flow.
    pub(super) all: bool,
}

/// The estimated load of an agent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ScoredAgent {
    pub(super) agent: SocketAddrV4,
    /// The open flows and the flows placed since the report, per slot, plus the cost of another
    /// failure domain.
    pub(super) score: f64,
    /// The age of the report behind the score.
    pub(super) report_age: Option<Duration>,
}

impl Placement<'_> {
    /// The number of agents in the balancer's failure domain among which a new flow is placed. A
    /// balancer without a cache entry for the flow would query agents further down the rendezvous
    /// order late.
    const LOCAL_CANDIDATES: usize = 8;

    /// The number of agents in other failure domains among which a new flow is placed.
    const REMOTE_CANDIDATES: usize = 6;

    /// The maximum number of likely owners: the agents at the head of the rendezvous order, of the
    /// local or of the other failure domains, that are queried before all others. It is higher than
    /// the number of candidates for placement because agents may have been added since.
    pub(super) const MAX_LIKELY_OWNERS: usize = 12;

    /// The maximum number of agents in one stage of a lookup.
    const MAX_STAGE_AGENTS: usize = 1_024;

    /// The number of slots of an agent that has not reported it.
    const DEFAULT_SLOTS: f64 = 1.0;

    /// The cost of a caller that waits for an answer, in flows. With it, an agent whose slots are
    /// all in use costs more than one in another failure domain.
    const PENDING_REQUEST_COST: f64 = 4.0;

    /// The weight of a slot while the backend server warms up.
    const WARMUP_SLOT_WEIGHT: f64 = 0.5;

    /// Returns the agents that may get a new flow of `target`, best first.
    pub(super) fn for_new_flow(&self, flow: u64, target: &RouteTarget) -> Vec<ScoredAgent> {
        let of_service = self.members.of_service(target.tag);
        let mut available: Vec<&Member> = of_service.filter(|it| self.is_available(it)).collect();
        if available.is_empty() {
            let of_service = self.members.of_service(target.tag);
            available = of_service.filter(|it| it.accepts_new_flows()).collect();
        }
        if available.is_empty() {
            let of_service = self.members.of_service(target.tag);
            available = of_service.filter(|it| it.may_recover()).collect();
        }
        sort_by_rank(&mut available, flow);
        let (mut candidates, mut remote): (Vec<&Member>, Vec<&Member>) =
            available.into_iter().partition(|it| self.is_local(it));
        candidates.truncate(Self::LOCAL_CANDIDATES);
        remote.truncate(Self::REMOTE_CANDIDATES);
        candidates.append(&mut remote);
        let mut scored: Vec<ScoredAgent> = candidates.iter().map(|it| self.score(it)).collect();
        // The sort is stable: agents of equal load stay in rendezvous order.
        scored.sort_by(|a, b| a.score.total_cmp(&b.score));
        scored
    }

    /// Returns the agents that may own the open flow `flow` of a route.
    ///
    /// The owner is at the head of the rendezvous order, unless the route has pointed to other
    /// services or agents have been added or removed since the flow was opened.
    pub(super) fn for_lookup(&self, flow: u64, route: &PacketRoute) -> LookupCandidates {
        let owners = self.members.iter().filter(|it| it.may_own_flows());
        let is_silent = |it: &&Member| it.is_silent(Steering::LIVENESS_TIMEOUT, self.now);
        let (silent, owners): (Vec<&Member>, Vec<&Member>) = owners.partition(is_silent);
        let target = route.target(flow);
        let serves = |it: &&Member| target.is_some_and(|target| target.tag == it.service);
        let count = owners.len();
        let (mut ranked, mut others): (Vec<&Member>, Vec<&Member>) =
            owners.into_iter().partition(serves);
        sort_by_rank(&mut ranked, flow);
        let (mut local, mut remote): (Vec<&Member>, Vec<&Member>) =
            ranked.into_iter().partition(|it| self.is_local(it));
        for stage in [&mut local, &mut remote] {
            others.extend(stage.split_off(stage.len().min(Self::MAX_LIKELY_OWNERS)));
        }
        let stages = [local, remote, others]
            .into_iter()
            .filter(|it| !it.is_empty());
        LookupCandidates {
            all: silent.is_empty() && count <= Self::MAX_STAGE_AGENTS,
            silent: addresses(&silent),
            stages: stages.map(|it| addresses(&it)).collect(),
        }
    }

    fn is_local(&self, member: &Member) -> bool {
        *member.failure_domain == *self.failure_domain
    }

    fn is_available(&self, member: &Member) -> bool {
        member.accepts_new_flows() && !member.is_silent(Steering::LIVENESS_TIMEOUT, self.now)
    }

    fn score(&self, member: &Member) -> ScoredAgent {
        let (flows, pending_requests, slots) = match &member.report {
            Some(it) => (
                it.flows,
                it.pending_requests,
                effective_slots(it.slots, it.warmup_ms),
            ),
            None => (0, 0, Self::DEFAULT_SLOTS),
        };
        let flows = f64::from(flows.saturating_add(member.placed_since_report));
        let load = (flows + Self::PENDING_REQUEST_COST * f64::from(pending_requests)) / slots;
        let remote = !self.is_local(member);
        ScoredAgent {
            agent: member.agent,
            score: load + if remote { self.cross_domain_cost } else { 0.0 },
            report_age: member.last_received_at.map(|at| self.now.since(at)),
        }
    }
}

fn effective_slots(slots: u32, warmup_ms: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    if warmup_ms > 0 {
        slots * Placement::WARMUP_SLOT_WEIGHT
    } else {
        slots
    }
}

fn addresses(members: &[&Member]) -> Vec<SocketAddrV4> {
    let members = members.iter().take(Placement::MAX_STAGE_AGENTS);
    members.map(|it| it.agent).collect()
}

fn sort_by_rank(members: &mut [&Member], flow: u64) {
    members.sort_by_key(|it| std::cmp::Reverse(route::rendezvous_rank(flow, it.seed)));
}
