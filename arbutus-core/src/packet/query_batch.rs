use std::net::SocketAddrV4;

use super::Question;

/// The questions of one balancer to one agent that are sent in one datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryBatch {
    /// The agent to query.
    pub agent: SocketAddrV4,
    /// The number that identifies the batch in its answer. It is unique among the balancer's
    /// recent batches.
    pub number: u32,
    /// The questions; at most [`QueryBatch::MAX_QUESTIONS`].
    pub questions: Vec<Question>,
}

impl QueryBatch {
    /// The maximum number of questions in one datagram. They take about 1,200 bytes.
    pub const MAX_QUESTIONS: usize = 60;
}
