use std::net::SocketAddrV4;

use rand::Rng;

/// The number of further requests that a peer agent of the service can run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerCapacity {
    /// The peer's control address.
    pub control: SocketAddrV4,
    /// The peer's free slots, as last reported.
    pub free_slots: u32,
}

/// The peers of this agent.
#[derive(Debug, Default)]
pub(super) struct Peers {
    peers: Vec<PeerCapacity>,
}

impl Peers {
    /// Replaces all peers.
    pub(super) fn replace(&mut self, peers: Vec<PeerCapacity>) {
        self.peers = peers;
    }

    pub(super) fn have_free_slot(&self) -> bool {
        self.peers.iter().any(|peer| peer.free_slots > 0)
    }

    /// Picks the better of two random peers with a free slot and counts the request against it.
    pub(super) fn reserve(&mut self, rng: &mut impl Rng) -> Option<SocketAddrV4> {
        let free: Vec<usize> = (0..self.peers.len())
            .filter(|at| self.peers[*at].free_slots > 0)
            .collect();
        if free.is_empty() {
            return None;
        }
        let one = free[rng.random_range(0..free.len())];
        let other = free[rng.random_range(0..free.len())];
        let best = if self.peers[other].free_slots > self.peers[one].free_slots {
            other
        } else {
            one
        };
        self.peers[best].free_slots -= 1;
        Some(self.peers[best].control)
    }
}
