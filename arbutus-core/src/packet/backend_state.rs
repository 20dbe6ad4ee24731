use std::{net::SocketAddrV4, sync::Arc, time::Duration};

/// What a backend server says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The backend server's own name; a new start may keep it.
    pub id: Arc<str>,
    /// The service that it serves.
    pub service: Arc<str>,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub warmup_remaining: Duration,
    /// Rises with each heartbeat of one start.
    pub sequence: u64,
    /// Its start, in milliseconds since the Unix epoch; 0 where it did not say.
    pub started_at_ms: u64,
}

/// What an agent knows of its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// Nothing yet, or nothing for too long.
    Unheard,
    /// It may get new flows.
    Ready,
    /// It keeps its flows and gets no new ones.
    Draining,
    /// It has said that it ends.
    Left,
}
