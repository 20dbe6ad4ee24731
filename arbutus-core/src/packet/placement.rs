use std::{collections::VecDeque, net::SocketAddrV4, time::Duration};

use super::{PacketRoute, RouteTarget, Steering, member::Member, member_table::MemberTable};
use crate::{route, time::Timestamp};

/// How candidates for a flow are ranked.
#[derive(Debug, Clone, Copy)]
pub(super) struct Placement<'a> {
    pub(super) members: &'a MemberTable,
    pub(super) failure_domain: &'a str,
    /// What an agent in another failure domain costs, in flows for each slot.
    pub(super) cross_domain_cost: f64,
    pub(super) now: Timestamp,
}

/// Agents that may hold an open flow.
#[derive(Debug)]
pub(super) struct Likely {
    /// Those that answer, in the order in which they are asked; none is empty. First come agents
    /// among which the flow was placed, those in the balancer's failure domain before others.
    pub(super) stages: VecDeque<Vec<SocketAddrV4>>,
    /// Agents that have left datagrams unanswered; they are asked, and not waited for.
    pub(super) silent: Vec<SocketAddrV4>,
    /// Whether every agent that may hold the flow is among those that answer.
    pub(super) all: bool,
}

/// The load of an agent as a balancer estimates it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Scored {
    pub(super) agent: SocketAddrV4,
    /// Open flows and flows placed since, for each slot, with the cost of distance.
    pub(super) score: f64,
    /// Age of the report behind it.
    pub(super) report_age: Option<Duration>,
}

impl Placement<'_> {
    /// Agents of the balancer's failure domain among which a new flow is placed; those further down
    /// the rendezvous order are not found soon by a balancer that does not know the flow.
    const NEAR_CHOICES: usize = 8;

    /// The same of other failure domains.
    const FAR_CHOICES: usize = 6;

    /// Agents at the head of the rendezvous order, of one failure domain or of the others, that are
    /// asked first for an open flow: some may have come since it was placed.
    pub(super) const LIKELY: usize = 12;

    /// Most agents that are asked for one flow.
    const ASKED: usize = 1_024;

    /// Slots of an agent that has not said how many it has.
    const ASSUMED_SLOTS: f64 = 1.0;

    /// What a caller that waits for an answer costs, in flows: full slots outweigh a distance.
    const WAITING_COST: f64 = 4.0;

    /// What a slot of a backend server that warms up counts for.
    const COLD_SLOT: f64 = 0.5;

    /// The agents that may take a new flow of `target`, best first.
    pub(super) fn for_opening(&self, flow: u64, target: &RouteTarget) -> Vec<Scored> {
        let of_service = self.members.of_service(target.tag);
        let mut open: Vec<&Member> = of_service.filter(|it| self.is_open(it)).collect();
        if open.is_empty() {
            let of_service = self.members.of_service(target.tag);
            open = of_service.filter(|it| it.accepts_new_flows()).collect();
        }
        by_rank(&mut open, flow);
        let (mut choices, mut far): (Vec<&Member>, Vec<&Member>) =
            open.into_iter().partition(|it| self.is_near(it));
        choices.truncate(Self::NEAR_CHOICES);
        far.truncate(Self::FAR_CHOICES);
        choices.append(&mut far);
        let mut scored: Vec<Scored> = choices.iter().map(|it| self.score(it)).collect();
        // The sort is stable: agents of equal load stay in rendezvous order.
        scored.sort_by(|a, b| a.score.total_cmp(&b.score));
        scored
    }

    /// The agents that may hold the open flow `flow` of a route.
    ///
    /// Its agent is at the head of the rendezvous order, unless the route went to other services or
    /// agents have come and gone since.
    pub(super) fn for_search(&self, flow: u64, route: &PacketRoute) -> Likely {
        let holders = self.members.iter().filter(|it| it.may_hold());
        let is_silent = |it: &&Member| it.is_silent(Steering::LIVENESS_TIMEOUT, self.now);
        let (silent, holders): (Vec<&Member>, Vec<&Member>) = holders.partition(is_silent);
        let target = route.target(flow);
        let serves = |it: &&Member| target.is_some_and(|target| target.tag == it.service);
        let count = holders.len();
        let (mut ranked, mut others): (Vec<&Member>, Vec<&Member>) =
            holders.into_iter().partition(serves);
        by_rank(&mut ranked, flow);
        let (mut near, mut far): (Vec<&Member>, Vec<&Member>) =
            ranked.into_iter().partition(|it| self.is_near(it));
        for likely in [&mut near, &mut far] {
            others.extend(likely.split_off(likely.len().min(Self::LIKELY)));
        }
        let stages = [near, far, others].into_iter().filter(|it| !it.is_empty());
        Likely {
            all: silent.is_empty() && count <= Self::ASKED,
            silent: addresses(&silent),
            stages: stages.map(|it| addresses(&it)).collect(),
        }
    }

    fn is_near(&self, member: &Member) -> bool {
        *member.failure_domain == *self.failure_domain
    }

    fn is_open(&self, member: &Member) -> bool {
        member.accepts_new_flows() && !member.is_silent(Steering::LIVENESS_TIMEOUT, self.now)
    }

    fn score(&self, member: &Member) -> Scored {
        let (flows, pending_requests, slots) = match &member.report {
            Some(it) => (it.flows, it.pending_requests, slots(it.slots, it.warmup_ms)),
            None => (0, 0, Self::ASSUMED_SLOTS),
        };
        let flows = f64::from(flows.saturating_add(member.placed));
        let load = (flows + Self::WAITING_COST * f64::from(pending_requests)) / slots;
        let far = !self.is_near(member);
        Scored {
            agent: member.agent,
            score: load + if far { self.cross_domain_cost } else { 0.0 },
            report_age: member.heard_at.map(|at| self.now.since(at)),
        }
    }
}

fn slots(slots: u32, warmup_ms: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    if warmup_ms > 0 {
        slots * Placement::COLD_SLOT
    } else {
        slots
    }
}

fn addresses(members: &[&Member]) -> Vec<SocketAddrV4> {
    let asked = members.iter().take(Placement::ASKED);
    asked.map(|it| it.agent).collect()
}

fn by_rank(members: &mut [&Member], flow: u64) {
    members.sort_by_key(|it| std::cmp::Reverse(route::rendezvous_rank(flow, it.seed)));
}
