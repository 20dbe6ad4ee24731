use std::net::SocketAddrV4;

/// An event that an agent's state machine handles.
#[derive(Debug, Clone)]
pub enum AgentEvent {
    /// The time of [`next_wakeup`](super::AgentNode::next_wakeup) has passed.
    Tick,
    /// A message was received.
    Received {
        /// The sender's control address.
        from: SocketAddrV4,
        /// The message as encoded by [`wire::encode`](super::wire::encode).
        payload: Vec<u8>,
    },
    /// The transport could not connect to a balancer, or lost the connection.
    Unreachable {
        /// The balancer's control address.
        peer: SocketAddrV4,
    },
}
