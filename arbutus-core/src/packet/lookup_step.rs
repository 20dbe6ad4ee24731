use std::{net::SocketAddrV4, time::Duration};

use super::{FlowId, RelayHeader};

/// A balancer's next step in the lookup of a flow's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LookupStep {
    /// Wait for further answers.
    Wait,
    /// Query these agents too, with the next round of questions.
    Query(Vec<SocketAddrV4>),
    /// Send buffered packets.
    Relay {
        /// The headers to send the packets with, one for each agent that gets them.
        headers: Vec<RelayHeader>,
        /// The packets.
        packets: Vec<Vec<u8>>,
    },
    /// Send the caller a reset, because no backend server holds the flow.
    Reset {
        /// The flow.
        flow: FlowId,
        /// The caller's last acknowledgement number.
        acknowledged: u32,
        /// The number of agents that answered that they do not own the flow.
        denied: usize,
        /// The time since the lookup began.
        duration: Duration,
        /// The age of the view that contains no other agent. It is at most `duration`.
        view_age: Duration,
    },
    /// End the lookup: no known agent owns the flow, but an unknown one may.
    Abandon {
        /// The number of agents that were queried.
        asked: usize,
        /// The agents that have not answered.
        missing: Vec<SocketAddrV4>,
    },
}
