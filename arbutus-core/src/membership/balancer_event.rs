use std::{net::SocketAddrV4, sync::Arc};

use crate::config::Snapshot;

/// What happens to a balancer.
#[derive(Debug, Clone)]
pub enum BalancerEvent {
    /// The time of [`next_wakeup`](super::BalancerNode::next_wakeup) has come.
    Tick,
    /// A message came.
    Received {
        /// The sender's control address.
        from: SocketAddrV4,
        /// The message as [`wire::encode`](super::wire::encode) made it.
        payload: Vec<u8>,
    },
    /// The transport could not reach a peer, or lost its connection.
    Unreachable {
        /// The peer's control address.
        peer: SocketAddrV4,
    },
    /// The store answered the read asked for with its configuration.
    ConfigRead(Arc<Snapshot>),
    /// The store answered the read asked for: nothing is newer.
    ConfigUnchanged,
    /// The read asked for failed.
    StoreUnreachable,
}
