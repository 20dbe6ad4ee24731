use std::{net::SocketAddrV4, time::Duration};

use super::{RelayHeader, RouteTarget, Steering, member::Member, member_table::MemberTable};
use crate::{route, time::Timestamp};

/// How candidates for a flow are ranked.
#[derive(Debug, Clone, Copy)]
pub(super) struct Placement<'a> {
    pub(super) members: &'a MemberTable,
    pub(super) failure_domain: &'a str,
    /// What an agent in another failure domain costs, in flows for each slot.
    pub(super) far_cost: f64,
    pub(super) now: Timestamp,
}

/// Agents that may hold a flow.
#[derive(Debug)]
pub(super) struct Likely {
    /// The likeliest first.
    pub(super) agents: Vec<SocketAddrV4>,
    /// Whether every agent that may hold the flow is among them.
    pub(super) all: bool,
}

/// How late an agent is asked for a flow; what stands first weighs most.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Distance {
    /// Whether it would swallow the packet.
    silent: bool,
    other_service: bool,
    far: bool,
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
    /// Agents among which a new flow is placed; the others are too far down the rendezvous order
    /// for a balancer that does not know the flow to find them.
    const CHOICES: usize = 8;

    /// Slots of an agent that has not said how many it has.
    const ASSUMED_SLOTS: f64 = 1.0;

    /// What a slot of a backend server that warms up counts for.
    const COLD_SLOT: f64 = 0.5;

    /// The agents that may take a new flow of `target`, best first.
    pub(super) fn for_opening(&self, flow: u64, target: &RouteTarget) -> Vec<Scored> {
        let of_service = self.members.of_service(target.tag);
        let mut open: Vec<&Member> = of_service.filter(|it| self.is_open(it)).collect();
        if open.is_empty() {
            let of_service = self.members.of_service(target.tag);
            open = of_service.filter(|it| it.takes_flows()).collect();
        }
        by_rank(&mut open, flow);
        open.truncate(Self::CHOICES);
        let mut scored: Vec<Scored> = open.iter().map(|it| self.score(it)).collect();
        // The sort is stable: agents of equal load stay in rendezvous order.
        scored.sort_by(|a, b| a.score.total_cmp(&b.score));
        scored
    }

    /// The agents that may hold a flow, the likeliest first, and whether these are all.
    ///
    /// A route's flows may be with agents of other services too, to which an earlier configuration
    /// sent them. The nearest agents come first, and those of a failure domain together, so that
    /// a search leaves few of them twice.
    pub(super) fn for_open_flow(&self, flow: u64, targets: &[RouteTarget]) -> Likely {
        let mut likely: Vec<&Member> = self.members.iter().filter(|it| it.may_hold()).collect();
        by_rank(&mut likely, flow);
        likely.sort_by(|a, b| {
            let domains = a.failure_domain.cmp(&b.failure_domain);
            self.distance(a, targets)
                .cmp(&self.distance(b, targets))
                .then(domains)
        });
        let all = likely.len() <= RelayHeader::MAX_CANDIDATES;
        likely.truncate(RelayHeader::MAX_CANDIDATES);
        Likely {
            agents: likely.iter().map(|it| it.agent).collect(),
            all,
        }
    }

    fn distance(&self, member: &Member, targets: &[RouteTarget]) -> Distance {
        Distance {
            silent: member.is_silent(Steering::SILENCE, self.now),
            other_service: !targets.iter().any(|it| it.tag == member.service),
            far: *member.failure_domain != *self.failure_domain,
        }
    }

    fn is_open(&self, member: &Member) -> bool {
        member.takes_flows() && !member.is_silent(Steering::SILENCE, self.now)
    }

    fn score(&self, member: &Member) -> Scored {
        let (flows, slots) = match &member.report {
            Some(report) => (report.flows, slots(report.slots, report.warmup_ms)),
            None => (0, Self::ASSUMED_SLOTS),
        };
        let load = f64::from(flows.saturating_add(member.placed)) / slots;
        let far = *member.failure_domain != *self.failure_domain;
        Scored {
            agent: member.agent,
            score: load + if far { self.far_cost } else { 0.0 },
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

fn by_rank(members: &mut [&Member], flow: u64) {
    members.sort_by_key(|it| std::cmp::Reverse(route::rendezvous_rank(flow, it.seed)));
}
