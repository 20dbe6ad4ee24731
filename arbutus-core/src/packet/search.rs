use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Segment;
use crate::time::Timestamp;

/// What an agent says when it is asked for a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SearchAnswer {
    /// Its backend server holds the flow.
    Holds,
    /// Its backend server does not hold the flow.
    Denies,
    /// It started after its backend server, which alone can tell.
    Unsure,
}

/// A balancer's question who holds an open flow, and the packets that wait for the answer.
#[derive(Debug)]
pub(super) struct Search {
    pub(super) started_at: Timestamp,
    /// The last packet of the caller.
    pub(super) segment: Segment,
    /// In the order of their arrival; at most [`Search::MAX_HELD`].
    pub(super) held: Vec<Vec<u8>>,
    /// Every agent that was asked, with its answer.
    asked: IndexMap<SocketAddrV4, Option<SearchAnswer>>,
    /// Agents to ask if the first ones do not hold the flow.
    further: Vec<SocketAddrV4>,
    /// Whether agents that cannot tell may be given the packets.
    all: bool,
    /// Whether nobody but these agents can hold the flow.
    pub(super) everyone: bool,
    /// How often what was sent has been repeated.
    repeated: u32,
    /// Whether agents that cannot tell have been given the packets.
    tried: bool,
}

/// Where a search stands after an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SearchState {
    /// Answers are missing.
    Waiting,
    /// These are to be asked too.
    Ask(Vec<SocketAddrV4>),
    /// This agent holds the flow.
    Found(SocketAddrV4),
    /// Nobody holds the flow unless one of these does, which cannot tell; they are to try.
    Try(Vec<SocketAddrV4>),
    /// Nobody holds the flow.
    Nobody,
}

/// What becomes of a search whose answers are late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum LateSearch {
    /// These are asked again.
    AskAgain(Vec<SocketAddrV4>),
    /// These get the packets again.
    TryAgain(Vec<SocketAddrV4>),
    /// It ends.
    GiveUp,
}

impl Search {
    /// Packets that wait; a caller has few under way before it hears anything.
    const MAX_HELD: usize = 4;

    /// How often what was sent is repeated.
    const REPETITIONS: u32 = 2;

    /// How long answers of agents nearby are waited for before others are asked too.
    const NEAR_TIMEOUT: Duration = Duration::from_millis(60);

    /// How long answers are waited for: less than a caller waits before it sends again.
    const TIMEOUT: Duration = Duration::from_millis(180);

    pub(super) fn new(
        segment: &Segment,
        first: Vec<SocketAddrV4>,
        further: Vec<SocketAddrV4>,
        now: Timestamp,
    ) -> Self {
        Self {
            started_at: now,
            segment: *segment,
            held: Vec::new(),
            asked: first.into_iter().map(|it| (it, None)).collect(),
            further,
            all: false,
            everyone: false,
            repeated: 0,
            tried: false,
        }
    }

    /// Says whether agents that cannot tell may try, and whether nobody else can hold the flow.
    pub(super) const fn covers(mut self, all: bool, everyone: bool) -> Self {
        self.all = all;
        self.everyone = everyone;
        self
    }

    pub(super) fn hold(&mut self, segment: &Segment, packet: &[u8]) {
        self.segment = *segment;
        if self.held.len() < Self::MAX_HELD {
            self.held.push(packet.to_vec());
        }
    }

    /// Takes in what an agent says.
    pub(super) fn on_answer(&mut self, agent: SocketAddrV4, answer: SearchAnswer) -> SearchState {
        if answer == SearchAnswer::Holds {
            return SearchState::Found(agent);
        }
        if let Some(slot) = self.asked.get_mut(&agent) {
            *slot = Some(answer);
        }
        if self.asked.values().any(Option::is_none) {
            return SearchState::Waiting;
        }
        if !self.further.is_empty() {
            let further = std::mem::take(&mut self.further);
            self.asked.extend(further.iter().map(|it| (*it, None)));
            return SearchState::Ask(further);
        }
        self.after_all_answers()
    }

    fn after_all_answers(&mut self) -> SearchState {
        if self.tried {
            return SearchState::Nobody;
        }
        self.tried = true;
        let unsure = self.unsure();
        // The flow's packets must not reach other backend servers alone.
        if unsure.is_empty() || !self.all {
            return SearchState::Nobody;
        }
        for agent in &unsure {
            self.asked.insert(*agent, None);
        }
        SearchState::Try(unsure)
    }

    /// Whether answers are late.
    pub(super) fn is_late(&self, now: Timestamp) -> bool {
        let timeout = if self.further.is_empty() {
            Self::TIMEOUT
        } else {
            Self::NEAR_TIMEOUT
        };
        now.since(self.started_at) >= timeout
    }

    /// Decides what becomes of the search when answers are late: what was sent may be lost.
    pub(super) fn on_late(&mut self, now: Timestamp) -> LateSearch {
        if self.repeated >= Self::REPETITIONS {
            return LateSearch::GiveUp;
        }
        self.repeated += 1;
        self.started_at = now;
        let mut missing = self.missing();
        for agent in std::mem::take(&mut self.further) {
            self.asked.insert(agent, None);
            missing.push(agent);
        }
        if self.tried {
            LateSearch::TryAgain(missing)
        } else {
            LateSearch::AskAgain(missing)
        }
    }

    /// Agents that could not tell.
    fn unsure(&self) -> Vec<SocketAddrV4> {
        let unsure =
            |it: &(&SocketAddrV4, &Option<SearchAnswer>)| *it.1 == Some(SearchAnswer::Unsure);
        self.asked.iter().filter(unsure).map(|it| *it.0).collect()
    }

    /// Agents that have not answered.
    pub(super) fn missing(&self) -> Vec<SocketAddrV4> {
        let missing = self.asked.iter().filter(|(_, answer)| answer.is_none());
        missing.map(|(agent, _)| *agent).collect()
    }

    /// How many agents were asked.
    pub(super) fn asked(&self) -> usize {
        self.asked.len()
    }

    /// How many agents have answered.
    pub(super) fn answered(&self) -> usize {
        self.asked.values().flatten().count()
    }
}
