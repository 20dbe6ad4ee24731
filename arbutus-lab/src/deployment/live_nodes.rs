use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use parking_lot::Mutex;

/// Admin addresses of the running daemons, by name; clones share the same entries.
#[derive(Debug, Clone, Default)]
pub struct LiveNodes(Arc<Mutex<BTreeMap<Arc<str>, SocketAddrV4>>>);

impl LiveNodes {
    /// Adds a daemon.
    pub fn add(&self, name: &Arc<str>, admin: SocketAddrV4) {
        self.0.lock().insert(Arc::clone(name), admin);
    }

    /// Removes a daemon that has exited or cannot answer.
    pub fn remove(&self, name: &str) {
        self.0.lock().remove(name);
    }

    /// Returns the admin addresses of the running balancers.
    #[must_use]
    pub fn balancer_admin_addresses(&self) -> Vec<SocketAddrV4> {
        let nodes = self.0.lock();
        let balancers = nodes
            .iter()
            .filter(|(name, _)| name.starts_with("balancer-"));
        balancers.map(|(_, admin)| *admin).collect()
    }

    /// Returns the admin addresses of all running daemons, by name.
    #[must_use]
    pub fn admin_addresses(&self) -> BTreeMap<Arc<str>, SocketAddrV4> {
        self.0.lock().clone()
    }
}
