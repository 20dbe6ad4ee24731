use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use super::BackendProcess;

/// A backend server's report of its own state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The backend server's own identifier. It may stay the same after a restart.
    pub id: Arc<str>,
    /// The service of the backend server.
    pub service: Arc<str>,
    /// The address where the backend server receives packets.
    pub address: SocketAddrV4,
    /// The number of requests that the backend server processes concurrently.
    pub slots: u32,
    /// Whether the backend server is draining before it leaves.
    pub draining: bool,
    /// The remaining time of reduced performance after the backend server's start.
    pub warmup_remaining: Duration,
    /// The heartbeat's sequence number, which rises with each heartbeat of one process.
    pub sequence: u64,
    /// The start time of the process, in milliseconds since the Unix epoch, or 0 if not reported.
    pub started_at_ms: u64,
}

impl Heartbeat {
    /// Returns the process that sent the heartbeat.
    #[must_use]
    pub fn process(&self) -> BackendProcess {
        BackendProcess {
            id: self.id.clone(),
            started_at_ms: self.started_at_ms,
        }
    }
}

/// An agent's view of its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// No heartbeat has arrived yet, or the last one is too old.
    Unheard,
    /// The backend server may get new flows.
    Ready,
    /// The backend server keeps its flows and gets no new ones.
    Draining,
    /// The backend server has reported that it ends.
    Left,
}
