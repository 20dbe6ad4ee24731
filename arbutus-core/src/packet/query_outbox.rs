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
    likely: Waiting,
    others: Waiting,
    /// The flows of each batch that was sent, in the order of its questions.
    sent: IndexMap<u32, SentBatch>,
    last_number: u32,
}

/// The questions of one lane.
#[derive(Debug, Default)]
struct Waiting {
    /// An agent stands here only while it has a question.
    questions: IndexMap<SocketAddrV4, Vec<Question>>,
    /// When the next round may leave.
    due: Timestamp,
}

#[derive(Debug)]
struct SentBatch {
    agent: SocketAddrV4,
    flows: Vec<FlowId>,
    at: Timestamp,
}

impl Waiting {
    /// Pause after a round for each datagram of it: a small VM spends some 3% of a core on it.
    const PACE: Duration = Duration::from_millis(1);

    fn add(&mut self, agents: &[SocketAddrV4], question: Question, now: Timestamp) -> Timestamp {
        for agent in agents {
            let questions = self.questions.entry(*agent).or_default();
            // What a later packet of the caller acknowledges tells more.
            questions.retain(|it| it.flow != question.flow);
            questions.push(question);
        }
        self.due.max(now)
    }

    fn due(&self) -> Option<Timestamp> {
        (!self.questions.is_empty()).then_some(self.due)
    }

    /// What leaves now: at most so many questions for each agent as a datagram takes.
    fn take_due(
        &mut self,
        wanted: impl Fn(&FlowId) -> bool,
        now: Timestamp,
    ) -> Vec<(SocketAddrV4, Vec<Question>)> {
        if self.due > now {
            return Vec::new();
        }
        let mut round = Vec::new();
        for (agent, mut questions) in std::mem::take(&mut self.questions) {
            questions.retain(|it| wanted(&it.flow));
            if questions.len() > QueryBatch::MAX_QUESTIONS {
                let rest = questions.split_off(QueryBatch::MAX_QUESTIONS);
                self.questions.insert(agent, rest);
            }
            if !questions.is_empty() {
                round.push((agent, questions));
            }
        }
        let count = u32::try_from(round.len()).unwrap_or(u32::MAX);
        self.due = now + Self::PACE * count;
        round
    }
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
