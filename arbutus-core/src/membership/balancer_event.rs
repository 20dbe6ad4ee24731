use std::{net::SocketAddrV4, sync::Arc};

use crate::config::Snapshot;

/// An event that a balancer's state machine handles.
#[derive(Debug, Clone)]
pub enum BalancerEvent {
    /// The time of [`next_wakeup`](super::BalancerNode::next_wakeup) has passed.
    Tick,
    /// A message was received.
    Received {
        /// The sender's control address.
        from: SocketAddrV4,
        /// The message as encoded by [`wire::encode`](super::wire::encode).
        payload: Vec<u8>,
    },
    /// The transport could not connect to a peer, or lost the connection.
    Unreachable {
        /// The peer's control address.
        peer: SocketAddrV4,
    },
    /// The store answered the requested read with its configuration.
    ConfigRead(Arc<Snapshot>),
    /// The store answered the requested read: no newer configuration exists.
    ConfigUnchanged,
    /// The requested read failed.
    StoreUnreachable,
}
