//! The agent's own record: whose word counts, and answers to what others say of it.

use super::AgentNode;
use crate::{
    config::DesiredState,
    membership::{AgentAction, HeartbeatAck},
    roster::{AgentState, Rank},
    time::Timestamp,
};

impl AgentNode {
    pub(super) fn say(&mut self, state: AgentState, now: Timestamp) -> Vec<AgentAction> {
        self.own_word = self.own_word.max(state);
        self.follow_words(now);
        std::mem::take(&mut self.actions)
    }

    /// Brings the record in line with the agent's own word and the operator's.
    pub(super) fn follow_words(&mut self, now: Timestamp) {
        let word = self
            .service()
            .map(|service| service.backend_override(&self.record.name))
            .unwrap_or_default();
        let operator_state = match word.state {
            DesiredState::Join => AgentState::Ready,
            DesiredState::Drain | DesiredState::Leave => AgentState::Draining,
        };
        let state = self.own_word.max(operator_state);
        let weight = word.weight_percent.unwrap_or(Self::EQUAL_WEIGHT_PERCENT);
        let is_same = state == self.record.state && weight == self.record.weight_percent;
        if is_same {
            return;
        }
        if state != self.record.state {
            self.actions.push(AgentAction::StateChanged(state));
        }
        self.record.state = state;
        self.record.weight_percent = weight;
        self.raise_version(self.record.version, now);
    }

    const EQUAL_WEIGHT_PERCENT: u32 = 100;

    /// Goes above a rank that a balancer holds and that is above the agent's own.
    pub(super) fn compare_rank(&mut self, ack: &HeartbeatAck, now: Timestamp) {
        let own = self.record.rank();
        let known = ack.known_rank.filter(|known| *known > own);
        if ack.conflict {
            self.take_incarnation_after(own, now);
            return;
        }
        match known {
            Some(known) if known.incarnation > own.incarnation => {
                self.take_incarnation_after(known, now);
            }
            Some(known) => self.raise_version(known.version, now),
            None if ack.known_rank == Some(own) => self.serve(),
            None => {}
        }
    }

    fn take_incarnation_after(&mut self, known: Rank, now: Timestamp) {
        self.record.incarnation = known.incarnation.next();
        self.record.version = 0;
        self.serving = None;
        self.raise_version(0, now);
    }

    fn serve(&mut self) {
        let incarnation = self.record.incarnation;
        if self.serving != Some(incarnation) {
            self.serving = Some(incarnation);
            self.actions.push(AgentAction::Serve(incarnation));
        }
    }

    /// Changes the record's version to the one after `above`, and tells all homes at once.
    fn raise_version(&mut self, above: u32, now: Timestamp) {
        self.record.version = above.max(self.record.version) + 1;
        self.send_heartbeats(now);
    }
}
