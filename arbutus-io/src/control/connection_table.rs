use std::net::SocketAddrV4;

use indexmap::IndexMap;
use parking_lot::Mutex;

/// The open connections for control messages, one per control address.
///
/// The lock is held for lookups and updates only, and no other lock is acquired meanwhile.
#[derive(Debug, Default)]
pub(super) struct ConnectionTable {
    connections: Mutex<IndexMap<SocketAddrV4, quinn::Connection>>,
}

impl ConnectionTable {
    /// Returns the open connection to `address`, if any, and removes a closed one.
    pub(super) fn get(&self, address: SocketAddrV4) -> Option<quinn::Connection> {
        let mut connections = self.connections.lock();
        let connection = connections.get(&address)?;
        if connection.close_reason().is_none() {
            return Some(connection.clone());
        }
        connections.swap_remove(&address);
        None
    }

    /// Adds `connection`, replacing an older one to the same address.
    pub(super) fn insert(&self, address: SocketAddrV4, connection: quinn::Connection) {
        self.connections.lock().insert(address, connection);
    }

    /// Removes `connection`, unless it has already been replaced.
    pub(super) fn remove(&self, address: SocketAddrV4, connection: &quinn::Connection) {
        let mut connections = self.connections.lock();
        let same = connections
            .get(&address)
            .is_some_and(|it| it.stable_id() == connection.stable_id());
        if same {
            connections.swap_remove(&address);
        }
    }
}
