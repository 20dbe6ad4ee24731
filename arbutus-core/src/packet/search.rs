use std::{collections::VecDeque, net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{
    Segment,
    held_packets::HeldPackets,
    search_state::{LateSearch, SearchState},
};
use crate::time::Timestamp;

/// What an agent says when it is asked for a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LookupAnswer {
    /// Its backend server holds the flow.
    Owned,
    /// Its backend server does not hold the flow.
    NotOwned,
    /// It started after its backend server, which alone can tell.
    Unknown,
}

/// A balancer's question who holds an open flow, and the packets that wait for the answer.
#[derive(Debug)]
pub(super) struct Search {
    begun_at: Timestamp,
    /// When what the search waits for was sent.
    asked_at: Timestamp,
    /// The last packet of the caller.
    pub(super) segment: Segment,
    held: HeldPackets,
    /// Every agent that was asked.
    asked: IndexMap<SocketAddrV4, Asked>,
    /// Agents to ask, one group after the other, if those before do not hold the flow.
    further: VecDeque<Vec<SocketAddrV4>>,
    /// Whether agents that cannot tell may be given a packet.
    all: bool,
    /// Whether nobody but these agents can hold the flow.
    pub(super) everyone: bool,
    /// How often what was sent has been repeated.
    repeated: u32,
    /// Whether it waits until the balancer trusts that it knows every agent.
    parked: bool,
}

/// What an agent that was asked has said.
#[derive(Debug, Clone, Copy, Default)]
struct Asked {
    answer: Option<LookupAnswer>,
    /// Whether its backend server was given a packet, so that it alone can still answer.
    tried: bool,
}

impl Search {
    /// How often what was sent is repeated.
    const REPETITIONS: u32 = 2;

    /// How long answers are waited for before the next agents are asked too.
    const STAGE_TIMEOUT: Duration = Duration::from_millis(60);

    /// How long answers of the last ones are waited for: less than a caller waits before it sends again.
    const TIMEOUT: Duration = Duration::from_millis(180);

    /// How long a search waits for a balancer to learn of every agent.
    const PARKED: Duration = Duration::from_millis(1_200);

    pub(super) fn new(
        segment: &Segment,
        first: &[SocketAddrV4],
        further: VecDeque<Vec<SocketAddrV4>>,
        now: Timestamp,
    ) -> Self {
        Self {
            begun_at: now,
            asked_at: now,
            segment: *segment,
            held: HeldPackets::default(),
            asked: first.iter().map(|it| (*it, Asked::default())).collect(),
            further,
            all: false,
            everyone: false,
            repeated: 0,
            parked: false,
        }
    }

    /// Says whether agents that cannot tell may try, and whether nobody else can hold the flow.
    pub(super) const fn covers(mut self, all: bool, everyone: bool) -> Self {
        self.all = all;
        self.everyone = everyone;
        self
    }

    /// Takes over what waited for a search of the same flow that ended without a result.
    pub(super) fn succeeds(mut self, earlier: Self) -> Self {
        self.begun_at = earlier.begun_at;
        self.held = earlier.held;
        self
    }

    /// Notes that what it waits for leaves at `at`.
    pub(super) const fn asked_at(&mut self, at: Timestamp) {
        self.asked_at = at;
    }

    pub(super) fn hold(&mut self, segment: &Segment, packet: &[u8]) {
        self.segment = *segment;
        self.held.push(segment, packet);
    }

    /// The packet that tells whether a backend server holds the flow.
    pub(super) fn telling_packet(&self) -> Vec<Vec<u8>> {
        self.held.telling().into_iter().cloned().collect()
    }

    /// The packets that `agent`, which holds the flow, has not been given.
    pub(super) fn packets_for(self, agent: SocketAddrV4) -> Vec<Vec<u8>> {
        let tried = self.asked.get(&agent).is_some_and(|it| it.tried);
        self.held.all_but_telling_if(tried)
    }

    /// Takes in what an agent says.
    pub(super) fn on_answer(&mut self, agent: SocketAddrV4, answer: LookupAnswer) -> SearchState {
        if answer == LookupAnswer::Owned {
            return SearchState::Found(agent);
        }
        if self.parked {
            return SearchState::Waiting;
        }
        if let Some(asked) = self.asked.get_mut(&agent) {
            // Only the backend server's own word counts after it was given a packet.
            if !(asked.tried && answer == LookupAnswer::Unknown) {
                asked.answer = Some(answer);
            }
        }
        let unanswered = |it: &Asked| it.answer.is_none() && !it.tried;
        if self.asked.values().any(unanswered) {
            return SearchState::Waiting;
        }
        self.after_all_answers()
    }

    /// Goes on when every question has been answered; backend servers that were given a packet may
    /// not have.
    fn after_all_answers(&mut self) -> SearchState {
        let unsure = self.unsure();
        // The flow's packets must not reach other backend servers alone.
        if !unsure.is_empty() && self.all {
            for agent in &unsure {
                let tried = Asked {
                    answer: None,
                    tried: true,
                };
                self.asked.insert(*agent, tried);
            }
            return SearchState::Try(unsure);
        }
        if self.asked.values().any(|it| it.answer.is_none()) {
            return SearchState::Waiting;
        }
        match self.further.pop_front() {
            Some(next) => {
                self.note_asked(&next);
                SearchState::Ask(next)
            }
            None => SearchState::Nobody,
        }
    }

    fn note_asked(&mut self, agents: &[SocketAddrV4]) {
        let asked = agents.iter().map(|it| (*it, Asked::default()));
        self.asked.extend(asked);
    }

    /// Has the search wait for the balancer to learn of every agent; gives `false` where it has
    /// waited for long enough or nobody waits for a result.
    pub(super) fn park(&mut self, now: Timestamp) -> bool {
        self.parked = self.segment.expects_answer() && !self.is_overdue(now);
        self.parked
    }

    /// Whether it waits until the balancer trusts that it knows every agent.
    pub(super) const fn is_parked(&self) -> bool {
        self.parked
    }

    /// Whether it has waited long enough for a balancer to learn of every agent.
    pub(super) fn is_overdue(&self, now: Timestamp) -> bool {
        now.since(self.begun_at) >= Self::PARKED
    }

    /// Whether answers are late.
    pub(super) fn is_late(&self, now: Timestamp) -> bool {
        let timeout = if self.further.is_empty() {
            Self::TIMEOUT
        } else {
            Self::STAGE_TIMEOUT
        };
        !self.parked && now.since(self.asked_at) >= timeout
    }

    /// Decides what becomes of the search when answers are late.
    pub(super) fn on_late(&mut self, now: Timestamp) -> LateSearch {
        match self.further.pop_front() {
            Some(next) => self.note_asked(&next),
            None if self.repeated >= Self::REPETITIONS => return LateSearch::GiveUp,
            None => self.repeated += 1,
        }
        self.asked_at = now;
        let (retry, ask) = self
            .missing()
            .into_iter()
            .partition(|it| self.asked.get(it).is_some_and(|asked| asked.tried));
        LateSearch::Again { ask, retry }
    }

    /// Agents that could not tell.
    fn unsure(&self) -> Vec<SocketAddrV4> {
        let unsure = |it: &(&SocketAddrV4, &Asked)| it.1.answer == Some(LookupAnswer::Unknown);
        self.asked.iter().filter(unsure).map(|it| *it.0).collect()
    }

    /// Agents that have not answered.
    pub(super) fn missing(&self) -> Vec<SocketAddrV4> {
        let missing = self.asked.iter().filter(|(_, it)| it.answer.is_none());
        missing.map(|(agent, _)| *agent).collect()
    }

    /// How many agents were asked.
    pub(super) fn asked(&self) -> usize {
        self.asked.len()
    }

    /// How many agents have answered.
    pub(super) fn answered(&self) -> usize {
        self.asked.len() - self.missing().len()
    }
}
