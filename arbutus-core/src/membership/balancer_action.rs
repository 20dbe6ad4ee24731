use std::{net::SocketAddrV4, sync::Arc};

use crate::{config::Snapshot, config_sync::StoreRead, ident::ServiceTag};

/// An action that a balancer's state machine requests.
#[derive(Debug, Clone, PartialEq)]
pub enum BalancerAction {
    /// Send a message, which may be lost.
    Send {
        /// The receiver's control address.
        to: SocketAddrV4,
        /// The encoded message.
        payload: Vec<u8>,
    },
    /// Agents of these services were added, removed or changed.
    RosterChanged(Vec<ServiceTag>),
    /// This configuration is in force from now on.
    ConfigInForce(Arc<Snapshot>),
    /// Read the store. Each read is answered by exactly one event.
    ReadStore(StoreRead),
}
