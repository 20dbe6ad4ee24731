use std::net::SocketAddrV4;

use crate::{roster::Rank, time::Timestamp};

/// A home balancer of an agent.
#[derive(Debug)]
pub(super) struct Home {
    pub control: SocketAddrV4,
    /// When the balancer became a home or last acknowledged a heartbeat.
    pub last_received: Timestamp,
    /// Whether the balancer has acknowledged a heartbeat since it became a home.
    pub has_answered: bool,
    /// The rank of the agent's record at the balancer, as of its last acknowledgement.
    pub acknowledged: Option<Rank>,
}

impl Home {
    pub const fn new(control: SocketAddrV4, now: Timestamp) -> Self {
        Self {
            control,
            last_received: now,
            has_answered: false,
            acknowledged: None,
        }
    }
}
