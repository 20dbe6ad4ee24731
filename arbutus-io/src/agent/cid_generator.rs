use std::time::Duration;

use arbutus_core::{
    cid::{self, CID_BYTES, FlowOwner},
    keys::KeyRing,
};
use quinn::{ConnectionId, ConnectionIdGenerator};

/// Makes the agent's connection IDs, each naming the agent as the owner.
#[derive(Debug, Clone)]
pub(super) struct CidGenerator {
    owner: FlowOwner,
    keys: KeyRing,
}

impl CidGenerator {
    /// Makes the generator of `owner`.
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
