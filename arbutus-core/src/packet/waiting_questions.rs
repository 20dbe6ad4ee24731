use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use super::{FlowId, QueryBatch, Question};
use crate::time::Timestamp;

/// The questions of one lane.
#[derive(Debug, Default)]
pub(super) struct WaitingQuestions {
    /// An agent stands here only while it has a question.
    questions: IndexMap<SocketAddrV4, Vec<Question>>,
    /// When the next round may leave.
    due: Timestamp,
}

impl WaitingQuestions {
    /// Pause after a round for each datagram of it: a small VM spends some 3% of a core on it.
    const PACE: Duration = Duration::from_millis(1);

    /// Adds a question for each of `agents`; gives when they will leave.
    pub(super) fn add(
        &mut self,
        agents: &[SocketAddrV4],
        question: Question,
        now: Timestamp,
    ) -> Timestamp {
        for agent in agents {
            let questions = self.questions.entry(*agent).or_default();
            // What a later packet of the caller acknowledges tells more.
            questions.retain(|it| it.flow != question.flow);
            questions.push(question);
        }
        self.due.max(now)
    }

    /// When the next round leaves, if a question waits.
    pub(super) fn due(&self) -> Option<Timestamp> {
        (!self.questions.is_empty()).then_some(self.due)
    }

    /// What leaves now: at most so many questions for each agent as a datagram takes.
    pub(super) fn take_due(
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
