use std::{collections::VecDeque, net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{
    Segment,
    buffered_packets::BufferedPackets,
    lookup_state::{LookupState, LookupTimeout},
};
use crate::time::Timestamp;

/// An agent's answer to the question whether it owns a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LookupAnswer {
    /// The agent's backend server holds the flow.
    Owned,
    /// The agent's backend server does not hold the flow.
    NotOwned,
    /// The agent's flow table is incomplete, and only its backend server can decide.
    Unknown,
}

/// A balancer's lookup of the agent that owns an open flow, with the flow's buffered packets.
#[derive(Debug)]
pub(super) struct Lookup {
    started_at: Timestamp,
    /// When the datagrams whose answers are outstanding were sent.
    queried_at: Timestamp,
    /// The last packet of the caller.
    pub(super) last_segment: Segment,
    buffered: BufferedPackets,
    /// The agents that were queried.
    queried: IndexMap<SocketAddrV4, QueriedAgent>,
    /// The groups of agents to query one after another, if none before owns the flow.
    remaining_stages: VecDeque<Vec<SocketAddrV4>>,
    /// Whether the trial packet may be delivered to agents with an incomplete flow table.
    trials_allowed: bool,
    /// Whether one of the agents in this lookup must own the flow, if any agent does.
    pub(super) exhaustive: bool,
    /// The number of retries.
    retries: u32,
    /// Whether the lookup is suspended until the balancer's view is complete and recent enough.
    suspended: bool,
}

/// The state of a queried agent.
#[derive(Debug, Clone, Copy, Default)]
struct QueriedAgent {
    answer: Option<LookupAnswer>,
    /// Whether the trial packet was delivered to the agent, so that only the response of its
    /// backend server counts from then on.
    tried: bool,
}

impl Lookup {
    /// The maximum number of retries.
    const MAX_RETRIES: u32 = 2;

    /// How long answers may be outstanding before the agents of the next stage are queried too.
    const STAGE_TIMEOUT: Duration = Duration::from_millis(60);

    /// How long answers may be outstanding in the last stage before a retry. It is shorter than a
    /// caller waits before it retransmits.
    const LAST_STAGE_TIMEOUT: Duration = Duration::from_millis(180);

    /// How long after its start a lookup may be suspended until the balancer's view is complete.
    const SUSPENSION_TIMEOUT: Duration = Duration::from_millis(1_200);

    pub(super) fn new(
        segment: &Segment,
        first_stage: &[SocketAddrV4],
        remaining_stages: VecDeque<Vec<SocketAddrV4>>,
        now: Timestamp,
    ) -> Self {
        Self {
            started_at: now,
            queried_at: now,
            last_segment: *segment,
            buffered: BufferedPackets::default(),
            queried: first_stage
                .iter()
                .map(|it| (*it, QueriedAgent::default()))
                .collect(),
            remaining_stages,
            trials_allowed: false,
            exhaustive: false,
            retries: 0,
            suspended: false,
        }
    }

    /// Sets whether the trial packet may be delivered, and whether the lookup is exhaustive.
    pub(super) const fn with_options(mut self, trials_allowed: bool, exhaustive: bool) -> Self {
        self.trials_allowed = trials_allowed;
        self.exhaustive = exhaustive;
        self
    }

    /// Takes over the start time and the packets of an earlier lookup of the same flow.
    pub(super) fn continuing(mut self, earlier: Self) -> Self {
        self.started_at = earlier.started_at;
        self.buffered = earlier.buffered;
        self
    }

    /// Returns when the first packet of the flow arrived. The flow was open by then.
    pub(super) const fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Records when the datagrams whose answers are outstanding are sent.
    pub(super) const fn set_queried_at(&mut self, at: Timestamp) {
        self.queried_at = at;
    }

    /// Buffers a packet of the flow.
    pub(super) fn buffer(&mut self, segment: &Segment, packet: &[u8]) {
        self.last_segment = *segment;
        self.buffered.push(segment, packet);
    }

    /// Returns the packet whose response shows whether a backend server holds the flow, if any.
    pub(super) fn trial_packet(&self) -> Vec<Vec<u8>> {
        self.buffered.trial_packet().into_iter().cloned().collect()
    }

    /// Returns the packets that `agent`, which owns the flow, has not received yet.
    pub(super) fn packets_for(self, agent: SocketAddrV4) -> Vec<Vec<u8>> {
        let tried = self.queried.get(&agent).is_some_and(|it| it.tried);
        self.buffered.into_packets(tried)
    }

    /// Records an agent's answer.
    pub(super) fn on_answer(&mut self, agent: SocketAddrV4, answer: LookupAnswer) -> LookupState {
        if answer == LookupAnswer::Owned {
            return LookupState::Found(agent);
        }
        if self.suspended {
            return LookupState::Pending;
        }
        if let Some(queried) = self.queried.get_mut(&agent) {
            // After a trial delivery only the response of the backend server counts.
            if !(queried.tried && answer == LookupAnswer::Unknown) {
                queried.answer = Some(answer);
            }
        }
        let unanswered = |it: &QueriedAgent| it.answer.is_none() && !it.tried;
        if self.queried.values().any(unanswered) {
            return LookupState::Pending;
        }
        self.after_all_answers()
    }

    /// Continues the lookup once every question has been answered. Responses to trial deliveries
    /// may be outstanding.
    fn after_all_answers(&mut self) -> LookupState {
        let unknown = self.unknown();
        // The flow's packets must not reach other backend servers while the one that holds the flow
        // gets none, so the lookup has to include every agent that may own the flow.
        if !unknown.is_empty() && self.trials_allowed {
            for agent in &unknown {
                let tried = QueriedAgent {
                    answer: None,
                    tried: true,
                };
                self.queried.insert(*agent, tried);
            }
            return LookupState::Try(unknown);
        }
        if self.queried.values().any(|it| it.answer.is_none()) {
            return LookupState::Pending;
        }
        match self.remaining_stages.pop_front() {
            Some(next) => {
                self.add_queried(&next);
                LookupState::Query(next)
            }
            None => LookupState::NotFound,
        }
    }

    /// Returns whether an agent is part of this lookup.
    pub(super) fn includes(&self, agent: SocketAddrV4) -> bool {
        self.queried.contains_key(&agent)
    }

    /// Continues the lookup at agents that have entered the view since its start.
    pub(super) fn extend(&mut self, agents: &[SocketAddrV4]) {
        self.suspended = false;
        self.add_queried(agents);
    }

    fn add_queried(&mut self, agents: &[SocketAddrV4]) {
        let queried = agents.iter().map(|it| (*it, QueriedAgent::default()));
        self.queried.extend(queried);
    }

    /// Suspends the lookup until the balancer's view is complete and recent enough.
    ///
    /// Returns `false` if the lookup has taken too long or the caller does not expect a response.
    pub(super) fn suspend(&mut self, now: Timestamp) -> bool {
        self.suspended = self.last_segment.expects_answer() && !self.is_overdue(now);
        self.suspended
    }

    /// Returns whether the lookup is suspended until the balancer's view is complete and recent
    /// enough.
    pub(super) const fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// Returns whether the lookup has taken too long to be suspended any longer.
    pub(super) fn is_overdue(&self, now: Timestamp) -> bool {
        now.since(self.started_at) >= Self::SUSPENSION_TIMEOUT
    }

    /// Returns whether answers are late.
    pub(super) fn is_late(&self, now: Timestamp) -> bool {
        let timeout = if self.remaining_stages.is_empty() {
            Self::LAST_STAGE_TIMEOUT
        } else {
            Self::STAGE_TIMEOUT
        };
        !self.suspended && now.since(self.queried_at) >= timeout
    }

    /// Decides how a lookup with late answers continues.
    pub(super) fn on_late(&mut self, now: Timestamp) -> LookupTimeout {
        let next_stage = self.remaining_stages.pop_front();
        let is_early = next_stage.is_some();
        match next_stage {
            Some(next) => self.add_queried(&next),
            None if self.retries >= Self::MAX_RETRIES => return LookupTimeout::Abandon,
            None => self.retries += 1,
        }
        self.queried_at = now;
        let (mut retry, query): (Vec<_>, Vec<_>) = self
            .unanswered_agents()
            .into_iter()
            .partition(|it| self.queried.get(it).is_some_and(|queried| queried.tried));
        // Copies would reach other backend servers while the one that holds the flow may not have
        // got the packet yet.
        if is_early {
            retry.clear();
        }
        LookupTimeout::Retry { query, retry }
    }

    /// Returns the agents that answered [`LookupAnswer::Unknown`].
    fn unknown(&self) -> Vec<SocketAddrV4> {
        let unknown =
            |it: &(&SocketAddrV4, &QueriedAgent)| it.1.answer == Some(LookupAnswer::Unknown);
        self.queried
            .iter()
            .filter(unknown)
            .map(|it| *it.0)
            .collect()
    }

    /// Returns the agents that have not answered.
    pub(super) fn unanswered_agents(&self) -> Vec<SocketAddrV4> {
        let missing = self.queried.iter().filter(|(_, it)| it.answer.is_none());
        missing.map(|(agent, _)| *agent).collect()
    }

    /// Returns the number of agents that were queried.
    pub(super) fn queried_count(&self) -> usize {
        self.queried.len()
    }

    /// Returns the number of agents that have answered.
    pub(super) fn answered_count(&self) -> usize {
        self.queried.len() - self.unanswered_agents().len()
    }
}
