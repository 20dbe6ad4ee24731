use std::net::{Ipv4Addr, SocketAddrV4};

const NOBODY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);

/// The agents that may take a new flow, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidates {
    agents: [SocketAddrV4; Self::MAX],
    /// Never above [`Candidates::MAX`].
    len: u8,
}

impl Candidates {
    /// How many agents one header can name.
    pub const MAX: usize = 4;

    /// Names nobody.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            agents: [NOBODY; Self::MAX],
            len: 0,
        }
    }

    /// Adds an agent behind the others; one past [`Candidates::MAX`] is left out.
    pub fn push(&mut self, agent: SocketAddrV4) {
        if let Some(slot) = self.agents.get_mut(usize::from(self.len)) {
            *slot = agent;
            self.len += 1;
        }
    }

    /// The agents, best first.
    #[must_use]
    pub fn as_slice(&self) -> &[SocketAddrV4] {
        &self.agents[..usize::from(self.len)]
    }

    /// Whether nobody is named.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The same agents without `agent`.
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
