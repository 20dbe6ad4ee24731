use std::net::SocketAddrV4;

use super::{FlowId, RelayHeader};

/// What a balancer does next about a flow that it searches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LookupStep {
    /// Nothing.
    Wait,
    /// These agents are asked too, with the next round of questions.
    Query(Vec<SocketAddrV4>),
    /// Send the packets that waited.
    Relay {
        /// What goes ahead of the packets, one for each agent that gets them.
        headers: Vec<RelayHeader>,
        /// The packets.
        packets: Vec<Vec<u8>>,
    },
    /// Tell the caller that nobody holds the flow.
    Reset {
        /// The flow.
        flow: FlowId,
        /// What the caller acknowledged last.
        acknowledged: u32,
        /// How many agents have denied it.
        denied: usize,
    },
    /// Nobody known holds the flow, and others may.
    Abandon {
        /// How many agents were asked.
        asked: usize,
        /// Those that have not answered.
        missing: Vec<SocketAddrV4>,
    },
}
