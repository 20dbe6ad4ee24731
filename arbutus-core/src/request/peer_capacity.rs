use std::net::SocketAddrV4;

use rand::Rng;

/// How many more requests a peer agent of the service can run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerCapacity {
    /// Its control address.
    pub control: SocketAddrV4,
    /// Its free slots, as last reported.
    pub free_slots: u32,
}

/// The peers of this agent.
#[derive(Debug, Default)]
pub(super) struct Peers {
    rooms: Vec<PeerCapacity>,
}

impl Peers {
    /// Replaces what is known.
    pub(super) fn replace(&mut self, rooms: Vec<PeerCapacity>) {
        self.rooms = rooms;
    }

    pub(super) fn have_room(&self) -> bool {
        self.rooms.iter().any(|room| room.free_slots > 0)
    }

    /// Picks the better of two random peers with room and counts the request against it.
    pub(super) fn take(&mut self, rng: &mut impl Rng) -> Option<SocketAddrV4> {
        let free: Vec<usize> = (0..self.rooms.len())
            .filter(|at| self.rooms[*at].free_slots > 0)
            .collect();
        if free.is_empty() {
            return None;
        }
        let one = free[rng.random_range(0..free.len())];
        let other = free[rng.random_range(0..free.len())];
        let best = if self.rooms[other].free_slots > self.rooms[one].free_slots {
            other
        } else {
            one
        };
        self.rooms[best].free_slots -= 1;
        Some(self.rooms[best].control)
    }
}
