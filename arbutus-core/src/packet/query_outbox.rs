use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use super::{FlowId, QueryBatch, Question, pending_questions::PendingQuestions};
use crate::time::Timestamp;

/// The lane of a question. Rounds of one lane do not delay those of the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryLane {
    /// Questions to the few agents that are likely to own a flow.
    LikelyOwners,
    /// Questions to all other agents, which take long to send in a large system.
    OtherAgents,
}

/// The questions that are pending, and the batches that await an answer.
///
/// After the loss of many processes at once a balancer has to look up every flow of its callers.
/// One datagram for each flow and agent would cost more than all other work, so questions for an
/// agent are batched during the pause after the last round. A question after an idle period is
/// sent at once.
#[derive(Debug, Default)]
pub(super) struct QueryOutbox {
    likely_owners: PendingQuestions,
    other_agents: PendingQuestions,
    /// The sent batches by number.
    sent: IndexMap<u32, SentBatch>,
    last_number: u32,
}

#[derive(Debug)]
struct SentBatch {
    agent: SocketAddrV4,
    /// The flows in the order of the questions.
    flows: Vec<FlowId>,
    sent_at: Timestamp,
}

impl QueryOutbox {
    /// How long the answer to a batch is accepted.
    const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

    /// Adds a question for each of `agents`, and returns when they will be sent.
    pub(super) fn add(
        &mut self,
        agents: &[SocketAddrV4],
        question: Question,
        lane: QueryLane,
        now: Timestamp,
    ) -> Timestamp {
        match lane {
            QueryLane::LikelyOwners => self.likely_owners.add(agents, question, now),
            QueryLane::OtherAgents => self.other_agents.add(agents, question, now),
        }
    }

    /// Returns the time of the next round, if a question is pending.
    pub(super) fn due(&self) -> Option<Timestamp> {
        let due = [self.likely_owners.due(), self.other_agents.due()];
        due.into_iter().flatten().min()
    }

    /// Returns the batches that are due, without flows that are no longer `wanted`.
    pub(super) fn take_due(
        &mut self,
        wanted: impl Fn(&FlowId) -> bool,
        now: Timestamp,
    ) -> Vec<QueryBatch> {
        let mut round = self.likely_owners.take_due(&wanted, now);
        round.extend(self.other_agents.take_due(&wanted, now));
        round
            .into_iter()
            .map(|(agent, questions)| self.batch(agent, questions, now))
            .collect()
    }

    fn batch(
        &mut self,
        agent: SocketAddrV4,
        questions: Vec<Question>,
        now: Timestamp,
    ) -> QueryBatch {
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        let flows = questions.iter().map(|it| it.flow).collect();
        let sent = SentBatch {
            agent,
            flows,
            sent_at: now,
        };
        self.sent.insert(number, sent);
        QueryBatch {
            agent,
            number,
            questions,
        }
    }

    /// Removes a batch that `agent` answers, and returns its flows in the order of the questions.
    ///
    /// Returns no flows if the batch was not sent to the agent, has expired, or has been answered
    /// before.
    pub(super) fn take_answered(&mut self, agent: SocketAddrV4, number: u32) -> Vec<FlowId> {
        match self.sent.get(&number) {
            Some(sent) if sent.agent == agent => {
                let sent = self.sent.swap_remove(&number);
                sent.map(|it| it.flows).unwrap_or_default()
            }
            Some(_) | None => Vec::new(),
        }
    }

    /// Removes batches whose answers are no longer accepted.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.sent
            .retain(|_, it| now.since(it.sent_at) < Self::ANSWER_TIMEOUT);
    }
}
