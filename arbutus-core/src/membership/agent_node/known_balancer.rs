use std::net::SocketAddrV4;

use crate::{roster::Rank, time::Timestamp};

/// A home balancer of an agent.
#[derive(Debug)]
pub(super) struct Home {
    pub control: SocketAddrV4,
    /// When it became a home or last answered.
    pub last_heard: Timestamp,
    /// Whether it has answered since it became a home.
    pub has_answered: bool,
    /// The rank of the agent's record that it holds, by its last answer.
    pub acknowledged: Option<Rank>,
}

impl Home {
    pub const fn new(control: SocketAddrV4, now: Timestamp) -> Self {
        Self {
            control,
            last_heard: now,
            has_answered: false,
            acknowledged: None,
        }
    }
}
