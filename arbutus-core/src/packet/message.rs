use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::{AgentListing, AgentReport, FlowId, LookupAnswer, Question, RelayHeader};

/// A message between a balancer and an agent or another balancer, sent in one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Relays the packet behind the message to the header's current candidate.
    Relay(RelayHeader),
    /// Reports an agent's state to a balancer.
    Report(AgentReport),
    /// Reports to a balancer that an agent owns a flow.
    FlowOwned {
        /// The agent.
        agent: SocketAddrV4,
        /// The flow.
        flow: FlowId,
        /// Whether the caller has confirmed the agent's backend server.
        open: bool,
    },
    /// Introduces an agent that the store does not list. A balancer sends this to some agents, and
    /// they forward it to their balancers.
    Introduced(AgentReport),
    /// Queries an agent for the owner of flows.
    Query {
        /// The balancer that gets the answer.
        balancer: SocketAddrV4,
        /// The number that identifies the query in its answer.
        number: u32,
        /// The questions, one for each flow.
        questions: Vec<Question>,
    },
    /// Answers a query.
    Answer {
        /// The agent.
        agent: SocketAddrV4,
        /// The number of the query.
        number: u32,
        /// The answers in the order of the questions.
        answers: Vec<LookupAnswer>,
    },
    /// Reports to a balancer that an agent does not own a flow, after its backend server rejected
    /// the flow's packet in a last-resort delivery.
    FlowNotOwned {
        /// The agent.
        agent: SocketAddrV4,
        /// The flow.
        flow: FlowId,
    },
    /// Requests a report from an agent.
    Probe {
        /// The balancer that gets the report.
        balancer: SocketAddrV4,
    },
    /// Queries a seed for the agents that the store does not list.
    UnlistedQuery {
        /// The balancer that gets the answer.
        balancer: SocketAddrV4,
        /// The number that identifies the query in its answer.
        number: u32,
    },
    /// Answers a query for the agents that the store does not list.
    UnlistedAnswer {
        /// The balancer that answers.
        seed: SocketAddrV4,
        /// The number of the query.
        number: u32,
        /// The agents in the sender's view.
        agents: Vec<AgentListing>,
        /// Whether `agents` contains all of them.
        all: bool,
    },
}

/// An error for a datagram that is not a valid message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageError;

impl Message {
    /// Encodes the message, followed by `packet`.
    ///
    /// # Panics
    ///
    /// Never panics: any message can be encoded into a buffer in memory.
    #[must_use]
    pub fn encode(&self, packet: &[u8]) -> Vec<u8> {
        let buf = Vec::with_capacity(packet.len() + 160);
        let mut buf = postcard::to_extend(self, buf).expect("a plain enum can be encoded");
        buf.extend_from_slice(packet);
        buf
    }

    /// Decodes a message and returns it with the packet behind it.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are malformed, if a relay message has no packet behind it, or
    /// if any other message has bytes behind it.
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
        f.write_str("the datagram is not a valid message of a balancer or agent")
    }
}

impl std::error::Error for MessageError {}
