use std::net::{Ipv4Addr, SocketAddrV4};

/// Value of unused entries.
const UNSPECIFIED: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);

/// The candidate agents for a new flow, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidates {
    agents: [SocketAddrV4; Self::MAX],
    /// Number of used entries; at most [`Candidates::MAX`].
    len: u8,
}

impl Candidates {
    /// Maximum number of agents in one header.
    pub const MAX: usize = 4;

    /// Creates an empty list.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            agents: [UNSPECIFIED; Self::MAX],
            len: 0,
        }
    }

    /// Appends an agent; ignores the agent if the list already has [`Candidates::MAX`] entries.
    pub fn push(&mut self, agent: SocketAddrV4) {
        if let Some(slot) = self.agents.get_mut(usize::from(self.len)) {
            *slot = agent;
            self.len += 1;
        }
    }

    /// Returns the agents, best first.
    #[must_use]
    pub fn as_slice(&self) -> &[SocketAddrV4] {
        &self.agents[..usize::from(self.len)]
    }

    /// Returns whether the list is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the list without `agent`.
    #[must_use]
    pub fn without(&self, agent: SocketAddrV4) -> Self {
        self.as_slice()
            .iter()
            .copied()
            .filter(|it| *it != agent)
            .collect()
    }
}

impl Default for Candidates {
    fn default() -> Self {
        Self::new()
    }
}

impl FromIterator<SocketAddrV4> for Candidates {
    fn from_iter<I: IntoIterator<Item = SocketAddrV4>>(iter: I) -> Self {
        let mut candidates = Self::new();
        for agent in iter {
            candidates.push(agent);
        }
        candidates
    }
}
