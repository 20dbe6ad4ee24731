use serde::{Deserialize, Serialize};

/// Limits on requests and connections at each backend server of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestPolicy {
    /// Maximum number of requests that run concurrently; at least 1.
    pub slots: u32,
    /// Maximum number of open caller connections; at least 1.
    pub connections: u32,
    /// Maximum number of requests that wait for a slot.
    pub queue: u32,
    /// Deadline of a request that specifies none, in milliseconds.
    pub deadline_ms: u64,
    /// Retry budget: retries allowed per hundred requests.
    pub retry_percent: u32,
    /// Time over which the weight of a new agent rises to its full value, in milliseconds.
    pub ramp_ms: u64,
    /// TTL of a binding, in milliseconds.
    pub binding_ms: u64,
    /// Path prefixes whose requests may be repeated regardless of their method.
    pub repeatable_paths: Vec<std::sync::Arc<str>>,
}

impl RequestPolicy {
    /// Creates the default limits, which apply where a service's files set none.
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
