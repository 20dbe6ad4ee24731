use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use super::{FlowId, QueryBatch, Question, waiting_questions::WaitingQuestions};
use crate::time::Timestamp;

/// Which questions wait for each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryLane {
    /// To the few agents that are likely to hold a flow.
    Likely,
    /// To all the others, which takes long in a large system.
    Others,
}

/// Questions that wait to be sent, and those whose answers may still come.
///
/// After a loss of many processes at once a balancer has to ask for every flow of its callers. One
/// datagram a flow and agent would cost more than all other work, so questions for an agent are
/// gathered while the last round is being paid for. A question after a quiet time leaves at once.
#[derive(Debug, Default)]
pub(super) struct QueryOutbox {
    likely: WaitingQuestions,
    others: WaitingQuestions,
    /// The flows of each batch that was sent, in the order of its questions.
    sent: IndexMap<u32, SentBatch>,
    last_number: u32,
}

#[derive(Debug)]
struct SentBatch {
    agent: SocketAddrV4,
    flows: Vec<FlowId>,
    at: Timestamp,
}

impl QueryOutbox {
    /// How long an answer is waited for.
    const ANSWER: Duration = Duration::from_secs(2);

    /// Adds a question for each of `agents`; gives when they will leave.
    pub(super) fn add(
        &mut self,
        agents: &[SocketAddrV4],
        question: Question,
        lane: QueryLane,
        now: Timestamp,
    ) -> Timestamp {
        match lane {
            QueryLane::Likely => self.likely.add(agents, question, now),
            QueryLane::Others => self.others.add(agents, question, now),
        }
    }

    /// When the next round leaves, if a question waits.
    pub(super) fn due(&self) -> Option<Timestamp> {
        let due = [self.likely.due(), self.others.due()];
        due.into_iter().flatten().min()
    }

    /// The batches that leave now, without flows that are no longer `wanted`.
    pub(super) fn take_due(
        &mut self,
        wanted: impl Fn(&FlowId) -> bool,
        now: Timestamp,
    ) -> Vec<QueryBatch> {
        let mut round = self.likely.take_due(&wanted, now);
        round.extend(self.others.take_due(&wanted, now));
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
            at: now,
        };
        self.sent.insert(number, sent);
        QueryBatch {
            agent,
            number,
            questions,
        }
    }

    /// The flows of a batch that `agent` answers, in the order of its questions; none where it was
    /// not asked, or has answered before.
    pub(super) fn answered(&mut self, agent: SocketAddrV4, number: u32) -> Vec<FlowId> {
        match self.sent.get(&number) {
            Some(sent) if sent.agent == agent => {
                let sent = self.sent.swap_remove(&number);
                sent.map(|it| it.flows).unwrap_or_default()
            }
            Some(_) | None => Vec::new(),
        }
    }

    /// Forgets batches whose answers are too late.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.sent.retain(|_, it| now.since(it.at) < Self::ANSWER);
    }
}
