use std::net::SocketAddrV4;

use super::Question;

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
