use std::net::SocketAddrV4;

use super::Steering;
use crate::{
    packet::{
        FlowId, LookupAnswer, LookupStep, PacketRoute, QueryBatch, Question, RelayHeader, Segment,
        SteeringDecision, SteeringDropReason,
        placement::Placement,
        query_outbox::QueryLane,
        search::Search,
        search_state::{LateSearch, SearchState},
    },
    time::Timestamp,
};

/// The part that finds out who holds an open flow.
impl Steering {
    pub(super) fn search(
        &mut self,
        segment: &Segment,
        packet: &[u8],
        route: &PacketRoute,
        now: Timestamp,
    ) -> SteeringDecision {
        if let Some(search) = self.searches.get_mut(&segment.flow) {
            search.hold(segment, packet);
            return SteeringDecision::Buffered;
        }
        if self.searches.len() >= Self::MAX_SEARCHES {
            return SteeringDecision::Drop(SteeringDropReason::TooManyLookups);
        }
        let Some((mut search, asked)) = self.begin(segment, route, now) else {
            return SteeringDecision::Drop(SteeringDropReason::NoAgent);
        };
        search.hold(segment, packet);
        self.searches.insert(segment.flow, search);
        self.ask(&asked, segment, now);
        SteeringDecision::Query(asked)
    }

    /// Makes a search, and gives the agents that are asked first; nothing where none answers.
    fn begin(
        &self,
        segment: &Segment,
        route: &PacketRoute,
        now: Timestamp,
    ) -> Option<(Search, Vec<SocketAddrV4>)> {
        let mut likely = self.placement(now).for_search(segment.flow.hash(), route);
        let everyone = likely.all && self.view.is_complete(now);
        let all = likely.all && self.view.may_try(now);
        let first = likely.stages.pop_front()?;
        let search = Search::new(segment, &first, likely.stages, now).covers(all, everyone);
        let asked = first.into_iter().chain(likely.silent).collect();
        Some((search, asked))
    }

    /// Has agents asked for the flow of `segment` with the next round of questions.
    fn ask(&mut self, agents: &[SocketAddrV4], segment: &Segment, now: Timestamp) {
        let question = Question {
            flow: segment.flow,
            acknowledged: segment.acknowledged,
        };
        let lane = if agents.len() <= Placement::LIKELY {
            QueryLane::Likely
        } else {
            QueryLane::Others
        };
        let leaves = self.queries.add(agents, question, lane, now);
        self.note_asked(agents, leaves);
        if let Some(search) = self.searches.get_mut(&segment.flow) {
            search.asked_at(leaves);
        }
    }

    fn note_asked(&mut self, agents: &[SocketAddrV4], at: Timestamp) {
        for agent in agents {
            if let Some(member) = self.members.get_mut(*agent) {
                member.note_sent(at);
            }
        }
    }

    /// When the next round of questions leaves, if one waits.
    #[must_use]
    pub fn next_queries_at(&self) -> Option<Timestamp> {
        self.queries.due()
    }

    /// The questions that leave now.
    pub fn take_queries(&mut self, now: Timestamp) -> Vec<QueryBatch> {
        let searches = &self.searches;
        self.queries
            .take_due(|flow| searches.contains_key(flow), now)
    }

    /// Takes in an agent's answers to the batch `number`, in the order of its questions.
    pub fn on_answers(
        &mut self,
        agent: SocketAddrV4,
        number: u32,
        answers: &[LookupAnswer],
        now: Timestamp,
    ) -> Vec<(FlowId, LookupStep)> {
        let flows = self.queries.answered(agent, number);
        let pairs = flows.into_iter().zip(answers);
        pairs
            .map(|(flow, answer)| (flow, self.on_answer(agent, flow, *answer, now)))
            .collect()
    }

    /// Takes in what an agent says of a flow.
    pub fn on_answer(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowId,
        answer: LookupAnswer,
        now: Timestamp,
    ) -> LookupStep {
        if let Some(member) = self.members.get_mut(agent) {
            member.note_heard(now);
        }
        let Some(search) = self.searches.get_mut(&flow) else {
            return LookupStep::Wait;
        };
        match search.on_answer(agent, answer) {
            SearchState::Waiting => LookupStep::Wait,
            SearchState::Ask(agents) => {
                let segment = search.segment;
                self.ask(&agents, &segment, now);
                LookupStep::Query(agents)
            }
            SearchState::Found(agent) => self.on_found(agent, flow, now),
            SearchState::Try(agents) => {
                let packet = search.telling_packet();
                search.asked_at(now);
                self.note_asked(&agents, now);
                self.relay(agents, packet, RelayHeader::last_resort)
            }
            SearchState::Nobody => self.end_in_vain(&flow, now),
        }
    }

    /// Notes that an agent holds an open flow, and sends it what has waited.
    pub(super) fn on_found(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowId,
        now: Timestamp,
    ) -> LookupStep {
        self.flows.confirm(flow, agent, now);
        let Some(search) = self.searches.swap_remove(&flow) else {
            return LookupStep::Wait;
        };
        let packets = search.packets_for(agent);
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

    fn end_in_vain(&mut self, flow: &FlowId, now: Timestamp) -> LookupStep {
        let Some(search) = self.searches.get_mut(flow) else {
            return LookupStep::Wait;
        };
        let segment = search.segment;
        if search.everyone && segment.expects_answer() {
            let denied = search.answered();
            self.searches.swap_remove(flow);
            return LookupStep::Reset {
                flow: *flow,
                acknowledged: segment.acknowledged,
                denied,
            };
        }
        if !search.everyone && search.park(now) {
            return LookupStep::Wait;
        }
        self.give_up(flow)
    }

    fn give_up(&mut self, flow: &FlowId) -> LookupStep {
        let Some(search) = self.searches.swap_remove(flow) else {
            return LookupStep::Wait;
        };
        LookupStep::Abandon {
            asked: search.asked(),
            missing: search.missing(),
        }
    }

    /// Whether some flow is searched.
    #[must_use]
    pub fn has_active_lookups(&self) -> bool {
        !self.searches.is_empty()
    }

    /// Repeats what was sent for searches whose answers are late, ends those that have had their
    /// repetitions, and goes on with those that waited for the balancer to learn of every agent.
    pub fn expire_lookups(&mut self, now: Timestamp) -> Vec<(FlowId, LookupStep)> {
        self.queries.expire(now);
        let parked = self.searches.iter().filter(|(_, it)| it.is_parked());
        let parked: Vec<_> = parked.map(|(flow, _)| *flow).collect();
        let late = self.searches.iter_mut().filter(|(_, it)| it.is_late(now));
        let late: Vec<_> = late.map(|(flow, it)| (*flow, it.on_late(now))).collect();
        let mut steps = Vec::new();
        for flow in parked {
            steps.extend(self.after_parking(&flow, now).map(|it| (flow, it)));
        }
        for (flow, state) in late {
            let after = self.after_late(&flow, state, now);
            steps.extend(after.into_iter().map(|it| (flow, it)));
        }
        steps
    }

    /// Asks everyone once the balancer knows every agent: earlier answers may be of another start.
    fn after_parking(&mut self, flow: &FlowId, now: Timestamp) -> Option<LookupStep> {
        let segment = self.searches.get(flow)?.segment;
        let config = self.config.as_ref()?;
        let route = config.routes.get(&flow.service).cloned();
        let begun = route.and_then(|it| self.begin(&segment, &it, now));
        if let Some((search, asked)) = begun.filter(|(search, _)| search.everyone) {
            let earlier = self.searches.swap_remove(flow)?;
            self.searches.insert(*flow, search.succeeds(earlier));
            self.ask(&asked, &segment, now);
            return Some(LookupStep::Query(asked));
        }
        let overdue = self.searches.get(flow)?.is_overdue(now);
        overdue.then(|| self.give_up(flow))
    }

    fn after_late(&mut self, flow: &FlowId, state: LateSearch, now: Timestamp) -> Vec<LookupStep> {
        let Some(search) = self.searches.get(flow) else {
            return Vec::new();
        };
        match state {
            LateSearch::Again { ask, retry } => {
                let segment = search.segment;
                let packet = search.telling_packet();
                let mut steps = Vec::new();
                if !retry.is_empty() {
                    steps.push(self.relay(retry, packet, RelayHeader::last_resort));
                }
                if !ask.is_empty() {
                    self.ask(&ask, &segment, now);
                    steps.push(LookupStep::Query(ask));
                }
                steps
            }
            LateSearch::GiveUp => vec![self.give_up(flow)],
        }
    }
}
