use std::net::SocketAddrV4;

/// What happens to an agent's announcer.
#[derive(Debug, Clone)]
pub enum AgentEvent {
    /// The time of [`next_wakeup`](super::AgentNode::next_wakeup) has come.
    Tick,
    /// A message came.
    Received {
        /// The sender's control address.
        from: SocketAddrV4,
        /// The message as [`wire::encode`](super::wire::encode) made it.
        payload: Vec<u8>,
    },
    /// The transport could not reach a balancer, or lost its connection.
    Unreachable {
        /// The balancer's control address.
        peer: SocketAddrV4,
    },
}
