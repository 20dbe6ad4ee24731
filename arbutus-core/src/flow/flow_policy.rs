use crate::config::BalanceMode;

/// The tunables of flow admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowPolicy {
    /// How many agents may pass a new flow on before one has to decide.
    pub max_hops: u8,
    /// By how much a peer's score must be better for the first agent to pass a flow on.
    pub first_margin: u64,
    /// By how much a peer's score must be better for a later agent to pass a flow on.
    pub later_margin: u64,
    /// The cost of a request in hand in a score.
    pub request_cost: u32,
    /// The cost of an open flow in a score.
    pub connection_cost: u32,
    /// How long a flow that was passed on is remembered, in milliseconds.
    pub memory_ms: u64,
    /// How many flows that were passed on are remembered.
    pub memory_entries: usize,
    /// How long an admitted flow may take to open, in milliseconds.
    pub pending_ms: u64,
    /// How long an admitted flow counts as a request before its first one, in milliseconds.
    pub settle_ms: u64,
    /// How long a request that the backend server shed counts as one in hand, in milliseconds.
    pub shed_ms: u64,
    /// Longest time between two reports to one peer, in milliseconds.
    pub report_interval_ms: u64,
    /// Most reports to one peer each second.
    pub reports_per_s: u32,
    /// Reports that may be sent in a row before the rate counts; at least 1.
    pub report_burst: u32,
    /// How many peers an agent reports to.
    pub report_peers: usize,
    /// How long an agent with more peers reports to the same ones, in milliseconds.
    pub report_rotation_ms: u64,
    /// Age past which a report is no longer used, in milliseconds.
    pub report_stale_ms: u64,
    /// How long a flow and the report that counts it are under way together, in milliseconds.
    pub in_flight_ms: u64,
}

impl FlowPolicy {
    /// The defaults.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            max_hops: 3,
            first_margin: 0,
            later_margin: 1_000,
            request_cost: 1_000,
            connection_cost: 2,
            memory_ms: 5_000,
            memory_entries: 4_096,
            pending_ms: 5_000,
            settle_ms: 1_000,
            shed_ms: 3_000,
            report_interval_ms: 500,
            reports_per_s: 8,
            report_burst: 3,
            report_peers: 6,
            report_rotation_ms: 10_000,
            report_stale_ms: 2_000,
            in_flight_ms: 12,
        }
    }

    /// The defaults for a service that weighs `balance` more.
    ///
    /// Where requests are passed to peers with a free slot, a flow is passed on for a greater
    /// difference only, since its requests do not depend on where it is.
    #[must_use]
    pub const fn for_balance(balance: BalanceMode) -> Self {
        let mut policy = Self::new();
        if matches!(balance, BalanceMode::Spread) {
            policy.first_margin = 2_000;
            policy.later_margin = 3_000;
        }
        policy
    }
}

impl Default for FlowPolicy {
    fn default() -> Self {
        Self::new()
    }
}
