use std::time::Duration;

use arbutus_core::{
    cid::{self, CID_BYTES, FlowOwner},
    keys::KeyRing,
};
use quinn::{ConnectionId, ConnectionIdGenerator};

/// Generates connection IDs that name the agent as the owner of the flow.
#[derive(Debug, Clone)]
pub(super) struct CidGenerator {
    owner: FlowOwner,
    keys: KeyRing,
}

impl CidGenerator {
    /// Creates the generator of connection IDs for `owner`.
    pub(super) const fn new(owner: FlowOwner, keys: KeyRing) -> Self {
        Self { owner, keys }
    }
}

impl ConnectionIdGenerator for CidGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        ConnectionId::new(&cid::encode(&self.owner, &self.keys, &mut rand::rng()))
    }

    fn cid_len(&self) -> usize {
        CID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
