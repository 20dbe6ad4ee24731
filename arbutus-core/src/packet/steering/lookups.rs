use std::net::SocketAddrV4;

use super::Steering;
use crate::{
    packet::{
        FlowId, LookupAnswer, LookupStep, PacketRoute, QueryBatch, Question, RelayHeader, Segment,
        SteeringDecision, SteeringDropReason,
        lookup::Lookup,
        lookup_state::{LookupState, LookupTimeout},
        member::Member,
        placement::Placement,
        query_outbox::QueryLane,
    },
    time::Timestamp,
};

/// Lookups of the agents that own open flows.
impl Steering {
    pub(super) fn look_up(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        route: &PacketRoute,
        now: Timestamp,
    ) -> SteeringDecision {
        if let Some(lookup) = self.lookups.get_mut(&segment.flow) {
            lookup.buffer(segment, packet);
            return SteeringDecision::Buffered;
        }
        if self.lookups.len() >= Self::MAX_LOOKUPS {
            return SteeringDecision::Drop(SteeringDropReason::TooManyLookups);
        }
        let Some((mut lookup, queried)) = self.new_lookup(segment, route, now) else {
            return SteeringDecision::Drop(SteeringDropReason::NoAgent);
        };
        lookup.buffer(segment, packet);
        self.lookups.insert(segment.flow, lookup);
        self.query(&queried, segment, now);
        SteeringDecision::Query(queried)
    }

    /// Creates a lookup, and returns it with the agents to query first.
    ///
    /// Returns `None` if no agent that may own the flow is responsive.
    fn new_lookup(
        &self,
        segment: &Segment,
        route: &PacketRoute,
        now: Timestamp,
    ) -> Option<(Lookup, Vec<SocketAddrV4>)> {
        let mut candidates = self.placement(now).for_lookup(segment.flow.hash(), route);
        let exhaustive = candidates.all && self.view.is_complete(now);
        let trials_allowed = candidates.all && self.view.allows_trials(now);
        let first = candidates.stages.pop_front()?;
        let lookup = Lookup::new(segment, &first, candidates.stages, now)
            .with_options(trials_allowed, exhaustive);
        let queried = first.into_iter().chain(candidates.silent).collect();
        Some((lookup, queried))
    }

    /// Adds questions about the flow of `segment` to the next round of questions to `agents`.
    fn query(&mut self, agents: &[SocketAddrV4], segment: &Segment, now: Timestamp) {
        let question = Question {
            flow: segment.flow,
            acknowledged: segment.acknowledged,
        };
        let lane = if agents.len() <= Placement::MAX_LIKELY_OWNERS {
            QueryLane::LikelyOwners
        } else {
            QueryLane::OtherAgents
        };
        let sent_at = self.queries.add(agents, question, lane, now);
        self.record_sent_to(agents, sent_at);
        if let Some(lookup) = self.lookups.get_mut(&segment.flow) {
            lookup.set_queried_at(sent_at);
        }
    }

    fn record_sent_to(&mut self, agents: &[SocketAddrV4], at: Timestamp) {
        for agent in agents {
            if let Some(member) = self.members.get_mut(*agent) {
                member.on_sent(at);
            }
        }
    }

    /// Returns the time of the next round of questions, if a question is pending.
    #[must_use]
    pub fn next_queries_at(&self) -> Option<Timestamp> {
        self.queries.due()
    }

    /// Returns the questions to send now.
    pub fn take_queries(&mut self, now: Timestamp) -> Vec<QueryBatch> {
        let lookups = &self.lookups;
        self.queries
            .take_due(|flow| lookups.contains_key(flow), now)
    }

    /// Records an agent's answers to the batch `number`, in the order of its questions, and returns
    /// the next step of each lookup.
    pub fn on_answers(
        &mut self,
        agent: SocketAddrV4,
        number: u32,
        answers: &[LookupAnswer],
        now: Timestamp,
    ) -> Vec<(FlowId, LookupStep)> {
        let flows = self.queries.take_answered(agent, number);
        let pairs = flows.into_iter().zip(answers);
        pairs
            .map(|(flow, answer)| (flow, self.on_answer(agent, flow, *answer, now)))
            .collect()
    }

    /// Records an agent's answer for a flow, and returns the next step of the lookup.
    pub fn on_answer(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowId,
        answer: LookupAnswer,
        now: Timestamp,
    ) -> LookupStep {
        if let Some(member) = self.members.get_mut(agent) {
            member.on_message(now);
        }
        let Some(lookup) = self.lookups.get_mut(&flow) else {
            return LookupStep::Wait;
        };
        match lookup.on_answer(agent, answer) {
            LookupState::Pending => LookupStep::Wait,
            LookupState::Query(agents) => {
                let segment = lookup.last_segment;
                self.query(&agents, &segment, now);
                LookupStep::Query(agents)
            }
            LookupState::Found(agent) => self.on_found(agent, flow, now),
            LookupState::Try(agents) => {
                let packet = lookup.trial_packet();
                lookup.set_queried_at(now);
                self.record_sent_to(&agents, now);
                self.relay(agents, packet, RelayHeader::last_resort)
            }
            LookupState::NotFound => self.on_not_found(&flow, now),
        }
    }

    /// Records that an agent owns an open flow, and relays the buffered packets to it.
    pub(super) fn on_found(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowId,
        now: Timestamp,
    ) -> LookupStep {
        self.flows.confirm(flow, agent, now);
        let Some(lookup) = self.lookups.swap_remove(&flow) else {
            return LookupStep::Wait;
        };
        let packets = lookup.packets_for(agent);
        self.relay([agent], packets, |header| header.owner_confirmed(true))
    }

    fn relay(
        &self,
        agents: impl IntoIterator<Item = SocketAddrV4>,
        packets: Vec<Vec<u8>>,
        kind: impl Fn(RelayHeader) -> RelayHeader,
    ) -> LookupStep {
        let header = |agent| {
            let header = RelayHeader::new(self.settings.balancer, [agent]);
            kind(header.config(self.config_version()))
        };
        LookupStep::Relay {
            headers: agents.into_iter().map(header).collect(),
            packets,
        }
    }

    fn on_not_found(&mut self, flow: &FlowId, now: Timestamp) -> LookupStep {
        if let Some(step) = self.conclude(flow, now) {
            return step;
        }
        let Some(lookup) = self.lookups.get_mut(flow) else {
            return LookupStep::Wait;
        };
        if !lookup.suspend(now) {
            return self.abandon(flow);
        }
        self.latest_suspended = self.latest_suspended.max(Some(lookup.started_at()));
        LookupStep::Wait
    }

    /// Continues a lookup that all its agents have denied at agents that have entered the view
    /// since its start, or ends it with a reset if the view has no such agent.
    ///
    /// Returns `None` while an agent outside the view may own the flow.
    fn conclude(&mut self, flow: &FlowId, now: Timestamp) -> Option<LookupStep> {
        let lookup = self.lookups.get(flow).filter(|it| it.exhaustive)?;
        let segment = lookup.last_segment;
        let view_age = self
            .view
            .age_if_complete_for(lookup.started_at(), now)
            .filter(|_| self.seeds.is_known_for(lookup.started_at()));
        let newcomers: Vec<_> = self.owners_outside(lookup, view_age.is_some()).collect();
        if !newcomers.is_empty() {
            self.lookups.get_mut(flow)?.extend(&newcomers);
            self.query(&newcomers, &segment, now);
            return Some(LookupStep::Query(newcomers));
        }
        let view_age = view_age.filter(|_| segment.expects_answer())?;
        let step = LookupStep::Reset {
            flow: *flow,
            acknowledged: segment.acknowledged,
            denied: lookup.answered_count(),
            duration: now.since(lookup.started_at()),
            view_age,
        };
        self.lookups.swap_remove(flow);
        Some(step)
    }

    /// Returns the agents in the view that may own the flow of `lookup` and are not part of it.
    ///
    /// An agent that has reported its end removes its listing. One that is listed all the same, by a
    /// view that is recent, serves another process of its backend server.
    fn owners_outside<'a>(
        &'a self,
        lookup: &'a Lookup,
        view_is_recent: bool,
    ) -> impl Iterator<Item = SocketAddrV4> + 'a {
        let may_own = move |it: &&Member| it.may_own_flows() || (view_is_recent && it.listed);
        let owners = self.members.iter().filter(may_own);
        owners.map(|it| it.agent).filter(|it| !lookup.includes(*it))
    }

    fn abandon(&mut self, flow: &FlowId) -> LookupStep {
        let Some(lookup) = self.lookups.swap_remove(flow) else {
            return LookupStep::Wait;
        };
        LookupStep::Abandon {
            asked: lookup.queried_count(),
            missing: lookup.unanswered_agents(),
        }
    }

    /// Returns whether a lookup is active.
    #[must_use]
    pub fn has_active_lookups(&self) -> bool {
        !self.lookups.is_empty()
    }

    /// Handles lookups that have waited long enough, and returns their next steps.
    ///
    /// A lookup with late answers is retried, or abandoned after the last retry. A suspended lookup
    /// continues once the balancer's view is complete and recent enough.
    pub fn expire_lookups(&mut self, now: Timestamp) -> Vec<(FlowId, LookupStep)> {
        self.queries.expire(now);
        let suspended = self.lookups.iter().filter(|(_, it)| it.is_suspended());
        let suspended: Vec<_> = suspended.map(|(flow, _)| *flow).collect();
        let late = self.lookups.iter_mut().filter(|(_, it)| it.is_late(now));
        let late: Vec<_> = late.map(|(flow, it)| (*flow, it.on_late(now))).collect();
        let mut steps = Vec::new();
        for flow in suspended {
            steps.extend(self.resume_suspended(&flow, now).map(|it| (flow, it)));
        }
        for (flow, timeout) in late {
            let after = self.on_timeout(&flow, timeout, now);
            steps.extend(after.into_iter().map(|it| (flow, it)));
        }
        let suspended = self.lookups.values().filter(|it| it.is_suspended());
        self.latest_suspended = suspended.map(Lookup::started_at).max();
        steps
    }

    /// Ends a suspended lookup that is exhaustive, or replaces it by an exhaustive one, once the
    /// balancer's view allows that. Abandons it if that takes too long.
    ///
    /// A lookup that was not exhaustive queries all agents again, because agents may have been
    /// restarted since their answers.
    fn resume_suspended(&mut self, flow: &FlowId, now: Timestamp) -> Option<LookupStep> {
        if let Some(step) = self.conclude(flow, now) {
            return Some(step);
        }
        if self.lookups.get(flow)?.exhaustive {
            return self.abandon_overdue(flow, now);
        }
        let segment = self.lookups.get(flow)?.last_segment;
        let config = self.config.as_ref()?;
        let route = config.routes.get(&flow.service).cloned();
        let started = route.and_then(|it| self.new_lookup(&segment, &it, now));
        if let Some((lookup, queried)) = started.filter(|(lookup, _)| lookup.exhaustive) {
            let earlier = self.lookups.swap_remove(flow)?;
            self.lookups.insert(*flow, lookup.continuing(earlier));
            self.query(&queried, &segment, now);
            return Some(LookupStep::Query(queried));
        }
        self.abandon_overdue(flow, now)
    }

    fn abandon_overdue(&mut self, flow: &FlowId, now: Timestamp) -> Option<LookupStep> {
        let overdue = self.lookups.get(flow)?.is_overdue(now);
        overdue.then(|| self.abandon(flow))
    }

    fn on_timeout(
        &mut self,
        flow: &FlowId,
        timeout: LookupTimeout,
        now: Timestamp,
    ) -> Vec<LookupStep> {
        let Some(lookup) = self.lookups.get(flow) else {
            return Vec::new();
        };
        match timeout {
            LookupTimeout::Retry { query, retry } => {
                let segment = lookup.last_segment;
                let packet = lookup.trial_packet();
                let mut steps = Vec::new();
                if !retry.is_empty() {
                    steps.push(self.relay(retry, packet, RelayHeader::last_resort));
                }
                if !query.is_empty() {
                    self.query(&query, &segment, now);
                    steps.push(LookupStep::Query(query));
                }
                steps
            }
            LookupTimeout::Abandon => vec![self.abandon(flow)],
        }
    }
}
