use std::net::SocketAddrV4;

use super::Steering;
use crate::{
    packet::{
        FlowId, PacketRoute, RelayHeader, SearchAnswer, SearchStep, Segment, Steer, SteerDrop,
        search::{LateSearch, Search, SearchState},
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
    ) -> Steer {
        if let Some(search) = self.searches.get_mut(&segment.flow) {
            search.hold(segment, packet);
            return Steer::Held;
        }
        let likely = self.placement(now).for_search(&route.targets);
        let everyone = likely.all && self.view.is_complete(now);
        let all = likely.all && self.view.may_try(now);
        let (first, further) = if likely.near.is_empty() {
            (likely.far, Vec::new())
        } else {
            (likely.near, likely.far)
        };
        let asked: Vec<_> = first.iter().chain(&likely.silent).copied().collect();
        if first.is_empty() || self.searches.len() >= Self::MAX_SEARCHES {
            return Steer::Drop(SteerDrop::NoAgent);
        }
        let mut search = Search::new(segment, first, further, now).covers(all, everyone);
        search.hold(segment, packet);
        self.searches.insert(segment.flow, search);
        self.note_asked(&asked, now);
        Steer::Ask(asked)
    }

    fn note_asked(&mut self, agents: &[SocketAddrV4], now: Timestamp) {
        for agent in agents {
            if let Some(member) = self.members.get_mut(*agent) {
                member.note_sent(now);
            }
        }
    }

    /// Takes in an agent's answer to a search.
    pub fn on_answer(
        &mut self,
        agent: SocketAddrV4,
        flow: FlowId,
        answer: SearchAnswer,
        now: Timestamp,
    ) -> SearchStep {
        if let Some(member) = self.members.get_mut(agent) {
            member.note_heard(now);
        }
        let Some(search) = self.searches.get_mut(&flow) else {
            return SearchStep::Wait;
        };
        match search.on_answer(agent, answer) {
            SearchState::Waiting => SearchStep::Wait,
            SearchState::Ask(agents) => {
                let acknowledged = search.segment.acknowledged;
                self.ask(agents, acknowledged, now)
            }
            SearchState::Found(agent) => {
                self.flows.confirm(flow, agent, now);
                let search = self.searches.swap_remove(&flow);
                let packets = search.map(|it| it.held).unwrap_or_default();
                self.relay([agent], packets, |header| header.known(true))
            }
            SearchState::Try(agents) => {
                let packets = search.held.clone();
                self.note_asked(&agents, now);
                self.relay(agents, packets, RelayHeader::last_resort)
            }
            SearchState::Nobody => self.end_in_vain(&flow),
        }
    }

    fn ask(&mut self, agents: Vec<SocketAddrV4>, acknowledged: u32, now: Timestamp) -> SearchStep {
        self.note_asked(&agents, now);
        SearchStep::Ask {
            agents,
            acknowledged,
        }
    }

    fn relay(
        &self,
        agents: impl IntoIterator<Item = SocketAddrV4>,
        packets: Vec<Vec<u8>>,
        kind: impl Fn(RelayHeader) -> RelayHeader,
    ) -> SearchStep {
        let header = |agent| {
            let header = RelayHeader::new(self.settings.balancer, [agent]);
            kind(header.config(self.config_version()))
        };
        SearchStep::Relay {
            headers: agents.into_iter().map(header).collect(),
            packets,
        }
    }

    fn end_in_vain(&mut self, flow: &FlowId) -> SearchStep {
        let Some(search) = self.searches.swap_remove(flow) else {
            return SearchStep::Wait;
        };
        let segment = search.segment;
        if search.everyone && segment.expects_answer() {
            return SearchStep::Reset {
                flow: *flow,
                caller_has: segment.acknowledged,
                denied: search.answered(),
            };
        }
        SearchStep::GiveUp {
            asked: search.asked(),
            missing: search.missing(),
        }
    }

    /// Whether some flow is searched.
    #[must_use]
    pub fn is_searching(&self) -> bool {
        !self.searches.is_empty()
    }

    /// Repeats what was sent for searches whose answers are late, and ends those that have had their
    /// repetitions.
    pub fn expire_searches(&mut self, now: Timestamp) -> Vec<(FlowId, SearchStep)> {
        let searches = self.searches.iter_mut().filter(|(_, it)| it.is_late(now));
        let states: Vec<_> = searches
            .map(|(flow, it)| (*flow, it.on_late(now)))
            .collect();
        states
            .into_iter()
            .map(|(flow, state)| (flow, self.after_late(&flow, state, now)))
            .collect()
    }

    fn after_late(&mut self, flow: &FlowId, state: LateSearch, now: Timestamp) -> SearchStep {
        let Some(search) = self.searches.get(flow) else {
            return SearchStep::Wait;
        };
        match state {
            LateSearch::AskAgain(agents) => {
                let acknowledged = search.segment.acknowledged;
                self.ask(agents, acknowledged, now)
            }
            LateSearch::TryAgain(agents) => {
                let packets = search.held.clone();
                self.relay(agents, packets, RelayHeader::last_resort)
            }
            LateSearch::GiveUp => {
                let step = SearchStep::GiveUp {
                    asked: search.asked(),
                    missing: search.missing(),
                };
                self.searches.swap_remove(flow);
                step
            }
        }
    }
}
