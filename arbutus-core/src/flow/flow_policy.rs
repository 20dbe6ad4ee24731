use crate::config::BalanceMode;

/// The tuning parameters of flow admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowPolicy {
    /// Maximum number of times that a new flow is passed on; the next agent accepts or refuses it.
    pub max_hops: u8,
    /// Margin by which a peer's score must be lower for the first agent to pass a flow on.
    pub first_hop_margin: u64,
    /// Margin by which a peer's score must be lower for a later agent to pass a flow on.
    pub later_hop_margin: u64,
    /// Score contribution of an in-flight request.
    pub request_cost: u32,
    /// Score contribution of an open flow.
    pub connection_cost: u32,
    /// Time for which the target of a passed-on flow is kept, in milliseconds.
    pub passed_flow_ttl_ms: u64,
    /// Maximum number of passed-on flows that are kept.
    pub max_passed_flows: usize,
    /// Time within which an admitted flow must open, in milliseconds.
    pub pending_timeout_ms: u64,
    /// Time for which an admitted flow counts as an in-flight request until its first request
    /// arrives, in milliseconds.
    pub expected_request_ttl_ms: u64,
    /// Time for which a request that the backend server shed counts as in-flight, in milliseconds.
    pub shed_ttl_ms: u64,
    /// Maximum interval between two reports to one peer, in milliseconds.
    pub report_interval_ms: u64,
    /// Maximum number of reports to one peer per second.
    pub max_reports_per_s: u32,
    /// Number of reports that may be sent back to back before the rate limit applies; at least 1.
    pub report_burst: u32,
    /// Maximum number of peers that an agent reports to.
    pub max_report_peers: usize,
    /// Interval after which an agent with more peers draws a new sample of peers to report to, in
    /// milliseconds.
    pub report_rotation_ms: u64,
    /// Age from which a report is no longer used, in milliseconds.
    pub report_max_age_ms: u64,
    /// Time for which a flow sent to a peer may be missing from the reports that arrive from that
    /// peer, in milliseconds: it covers the flow's way there and the report's way back.
    pub in_flight_ms: u64,
}

impl FlowPolicy {
    /// Creates the default policy.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            max_hops: 3,
            first_hop_margin: 0,
            later_hop_margin: 1_000,
            request_cost: 1_000,
            connection_cost: 2,
            passed_flow_ttl_ms: 5_000,
            max_passed_flows: 4_096,
            pending_timeout_ms: 5_000,
            expected_request_ttl_ms: 1_000,
            shed_ttl_ms: 3_000,
            report_interval_ms: 500,
            max_reports_per_s: 8,
            report_burst: 3,
            max_report_peers: 6,
            report_rotation_ms: 10_000,
            report_max_age_ms: 2_000,
            in_flight_ms: 12,
        }
    }

    /// Creates the default policy for a service with the given `balance`.
    ///
    /// With [`BalanceMode::Spread`], requests are passed on to peers with a free slot, so the
    /// placement of a flow matters less and a flow is passed on only for a larger difference in
    /// score.
    #[must_use]
    pub const fn for_balance(balance: BalanceMode) -> Self {
        let mut policy = Self::new();
        if matches!(balance, BalanceMode::Spread) {
            policy.first_hop_margin = 2_000;
            policy.later_hop_margin = 3_000;
        }
        policy
    }
}

impl Default for FlowPolicy {
    fn default() -> Self {
        Self::new()
    }
}
