use std::{net::SocketAddrV4, sync::Arc};

use crate::{config::Snapshot, config_sync::StoreRead, ident::ServiceTag};

/// What a balancer wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum BalancerAction {
    /// Send a message; it may get lost.
    Send {
        /// The receiver's control address.
        to: SocketAddrV4,
        /// The message.
        payload: Vec<u8>,
    },
    /// Agents of these services came, went or changed.
    RosterChanged(Vec<ServiceTag>),
    /// This configuration is in force from now on.
    ConfigInForce(Arc<Snapshot>),
    /// Read the store; each read is answered by exactly one event.
    ReadStore(StoreRead),
}
