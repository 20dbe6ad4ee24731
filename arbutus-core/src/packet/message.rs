use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::{AgentReport, FlowId, LookupAnswer, Question, RelayHeader};

/// What balancers and agents send each other in a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A packet follows, which is for the header's present candidate.
    Relay(RelayHeader),
    /// An agent tells a balancer of itself.
    Report(AgentReport),
    /// An agent tells a balancer that it holds a flow.
    FlowOwned {
        /// The agent.
        agent: SocketAddrV4,
        /// The flow.
        flow: FlowId,
        /// Whether the caller has confirmed the agent's backend server.
        open: bool,
    },
    /// An agent that the store does not list is made known: by a balancer to some agents, and by
    /// these to their balancers.
    Introduced(AgentReport),
    /// A balancer asks an agent for flows.
    Query {
        /// Where the answer goes.
        balancer: SocketAddrV4,
        /// Names the query in its answer.
        number: u32,
        /// One for each flow.
        questions: Vec<Question>,
    },
    /// An agent answers a query.
    Answer {
        /// The agent.
        agent: SocketAddrV4,
        /// The query.
        number: u32,
        /// In the order of the questions.
        answers: Vec<LookupAnswer>,
    },
    /// An agent whose backend server was given a flow's packet as the last resort says that it does
    /// not hold the flow.
    FlowNotOwned {
        /// The agent.
        agent: SocketAddrV4,
        /// The flow.
        flow: FlowId,
    },
    /// A balancer asks an agent for a report.
    Probe {
        /// Where the report goes.
        balancer: SocketAddrV4,
    },
}

/// Why a datagram is not a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageError;

impl Message {
    /// Writes the message with `packet` behind it.
    ///
    /// # Panics
    ///
    /// Never: a buffer in memory takes any message.
    #[must_use]
    pub fn encode(&self, packet: &[u8]) -> Vec<u8> {
        let buf = Vec::with_capacity(packet.len() + 160);
        let mut buf = postcard::to_extend(self, buf).expect("a plain enum can be encoded");
        buf.extend_from_slice(packet);
        buf
    }

    /// Reads a message and gives the packet behind it.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are malformed, or where others than a relayed packet have bytes
    /// behind them.
    pub fn decode(bytes: &[u8]) -> Result<(Self, &[u8]), MessageError> {
        let (message, packet) = postcard::take_from_bytes(bytes).map_err(|_| MessageError)?;
        let relayed = matches!(message, Self::Relay(_));
        if relayed == packet.is_empty() {
            return Err(MessageError);
        }
        Ok((message, packet))
    }
}

impl std::fmt::Display for MessageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the datagram is no message of a balancer or agent")
    }
}

impl std::error::Error for MessageError {}
