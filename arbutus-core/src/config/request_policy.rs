use serde::{Deserialize, Serialize};

/// Limits on requests and connections at each backend server of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestPolicy {
    /// Requests that run at once; at least 1.
    pub slots: u32,
    /// Open caller connections; at least 1.
    pub connections: u32,
    /// Requests that wait for a slot.
    pub queue: u32,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Retries allowed for each hundred requests.
    pub retry_percent: u32,
    /// How long a new agent's share of new flows grows to its full weight, in milliseconds.
    pub ramp_ms: u64,
    /// How long a binding is valid, in milliseconds.
    pub binding_ms: u64,
    /// Paths, by prefix, whose requests may be repeated whatever their method.
    pub repeatable_paths: Vec<std::sync::Arc<str>>,
}

impl RequestPolicy {
    /// The limits of a service whose files set none.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            slots: 5,
            connections: 2_000,
            queue: 20,
            deadline_ms: 10_000,
            retry_percent: 10,
            ramp_ms: 5_000,
            binding_ms: 300_000,
            repeatable_paths: Vec::new(),
        }
    }
}

impl Default for RequestPolicy {
    fn default() -> Self {
        Self::new()
    }
}
