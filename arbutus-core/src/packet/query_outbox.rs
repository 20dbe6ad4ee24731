use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use super::{FlowId, Question};
use crate::time::Timestamp;

/// Questions of one balancer that leave for one agent in one datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryBatch {
    /// Who is asked.
    pub agent: SocketAddrV4,
    /// Names the batch in the answer; unique among the balancer's batches of the last seconds.
    pub number: u32,
    /// At most [`QueryBatch::MAX_QUESTIONS`].
    pub questions: Vec<Question>,
}

impl QueryBatch {
    /// Most questions in one datagram: they take some 1,200 bytes.
    pub const MAX_QUESTIONS: usize = 60;
}

/// Questions that wait to be sent, and those whose answers may still come.
///
/// After a loss of many processes at once a balancer has to ask for every flow of its callers. One
/// datagram a flow and agent would cost more than all other work, so questions for an agent are
/// gathered while the last round is being paid for. A question after a quiet time leaves at once.
#[derive(Debug, Default)]
pub(super) struct QueryOutbox {
    /// An agent stands here only while it has a question.
    waiting: IndexMap<SocketAddrV4, Vec<Question>>,
    /// The flows of each batch that was sent, in the order of its questions.
    sent: IndexMap<u32, SentBatch>,
    /// When the next round may leave.
    due: Timestamp,
    last_number: u32,
}

#[derive(Debug)]
struct SentBatch {
    agent: SocketAddrV4,
    flows: Vec<FlowId>,
    at: Timestamp,
}

impl QueryOutbox {
    /// Pause after a round for each datagram of it: a small VM spends some 3% of a core on it.
    const PACE: Duration = Duration::from_millis(1);

    /// How long an answer is waited for.
    const ANSWER: Duration = Duration::from_secs(2);

    /// Adds a question for each of `agents`; gives when they will leave.
    pub(super) fn add(
        &mut self,
        agents: &[SocketAddrV4],
        question: Question,
        now: Timestamp,
    ) -> Timestamp {
        for agent in agents {
            let questions = self.waiting.entry(*agent).or_default();
            // What a later packet of the caller acknowledges tells more.
            questions.retain(|it| it.flow != question.flow);
            questions.push(question);
        }
        self.due.max(now)
    }

    /// When the next round leaves, if a question waits.
    pub(super) fn due(&self) -> Option<Timestamp> {
        (!self.waiting.is_empty()).then_some(self.due)
    }

    /// The batches that leave now, without flows that are no longer `wanted`.
    pub(super) fn take_due(
        &mut self,
        wanted: impl Fn(&FlowId) -> bool,
        now: Timestamp,
    ) -> Vec<QueryBatch> {
        if self.due > now {
            return Vec::new();
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|_, questions| {
            questions.retain(|it| wanted(&it.flow));
            !questions.is_empty()
        });
        let batches: Vec<_> = waiting
            .into_iter()
            .map(|(agent, questions)| self.batch(agent, questions, now))
            .collect();
        let count = u32::try_from(batches.len()).unwrap_or(u32::MAX);
        self.due = now + Self::PACE * count;
        batches
    }

    fn batch(
        &mut self,
        agent: SocketAddrV4,
        mut questions: Vec<Question>,
        now: Timestamp,
    ) -> QueryBatch {
        if questions.len() > QueryBatch::MAX_QUESTIONS {
            let rest = questions.split_off(QueryBatch::MAX_QUESTIONS);
            self.waiting.insert(agent, rest);
        }
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
