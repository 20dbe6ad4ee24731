use std::net::SocketAddrV4;

use indexmap::IndexMap;
use parking_lot::Mutex;

/// The open connections, one for each control address.
///
/// The lock is held for a look-up only, and no other lock is taken under it.
#[derive(Debug, Default)]
pub(super) struct ConnectionTable {
    open: Mutex<IndexMap<SocketAddrV4, quinn::Connection>>,
}

impl ConnectionTable {
    /// The open connection to `address`, if there is one.
    pub(super) fn get(&self, address: SocketAddrV4) -> Option<quinn::Connection> {
        let mut open = self.open.lock();
        let connection = open.get(&address)?;
        if connection.close_reason().is_none() {
            return Some(connection.clone());
        }
        open.swap_remove(&address);
        None
    }

    /// Keeps `connection`, which replaces an older one to the same address.
    pub(super) fn insert(&self, address: SocketAddrV4, connection: quinn::Connection) {
        self.open.lock().insert(address, connection);
    }

    /// Takes out the entry of `connection`, where it is still the one in use.
    pub(super) fn remove(&self, address: SocketAddrV4, connection: &quinn::Connection) {
        let mut open = self.open.lock();
        let same = open
            .get(&address)
            .is_some_and(|it| it.stable_id() == connection.stable_id());
        if same {
            open.swap_remove(&address);
        }
    }
}
