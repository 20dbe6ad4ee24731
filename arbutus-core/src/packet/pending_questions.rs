use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use super::{FlowId, QueryBatch, Question};
use crate::time::Timestamp;

/// The questions of one lane that have not been sent.
#[derive(Debug, Default)]
pub(super) struct PendingQuestions {
    /// The questions by agent. An agent without a question has no entry.
    questions: IndexMap<SocketAddrV4, Vec<Question>>,
    /// The earliest time of the next round.
    due: Timestamp,
}

impl PendingQuestions {
    /// The pause after a round for each of its datagrams. A small VM spends about 3% of a core on
    /// sending at this pace.
    const DATAGRAM_PACING: Duration = Duration::from_millis(1);

    /// Adds a question for each of `agents`, and returns when they will be sent.
    pub(super) fn add(
        &mut self,
        agents: &[SocketAddrV4],
        question: Question,
        now: Timestamp,
    ) -> Timestamp {
        for agent in agents {
            let questions = self.questions.entry(*agent).or_default();
            // The acknowledgement number of a later packet is more recent.
            questions.retain(|it| it.flow != question.flow);
            questions.push(question);
        }
        self.due.max(now)
    }

    /// Returns the time of the next round, if a question is pending.
    pub(super) fn due(&self) -> Option<Timestamp> {
        (!self.questions.is_empty()).then_some(self.due)
    }

    /// Returns the questions of a round that is due, at most one datagram for each agent.
    ///
    /// Questions about flows that are no longer `wanted` are dropped.
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
        self.due = now + Self::DATAGRAM_PACING * count;
        round
    }
}
