use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use parking_lot::Mutex;

/// The admin ports of the daemons that run now, shared by all who ask them something.
#[derive(Debug, Clone, Default)]
pub struct LiveNodes(Arc<Mutex<BTreeMap<Arc<str>, SocketAddrV4>>>);

impl LiveNodes {
    /// Adds a daemon.
    pub fn add(&self, name: &Arc<str>, admin: SocketAddrV4) {
        self.0.lock().insert(Arc::clone(name), admin);
    }

    /// Removes a daemon that ended or cannot answer.
    pub fn remove(&self, name: &str) {
        self.0.lock().remove(name);
    }

    /// Those of balancers.
    #[must_use]
    pub fn balancer_admin_addresses(&self) -> Vec<SocketAddrV4> {
        let nodes = self.0.lock();
        let balancers = nodes
            .iter()
            .filter(|(name, _)| name.starts_with("balancer-"));
        balancers.map(|(_, admin)| *admin).collect()
    }

    /// All of them, by name.
    #[must_use]
    pub fn admin_addresses(&self) -> BTreeMap<Arc<str>, SocketAddrV4> {
        self.0.lock().clone()
    }
}
