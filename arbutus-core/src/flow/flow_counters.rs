/// What flow admission has counted since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FlowCounters {
    /// New flows admitted.
    pub accepted: u64,
    /// New flows passed on to another agent.
    pub passed_on: u64,
    /// New flows refused.
    pub refused: u64,
    /// Datagrams dropped.
    pub dropped: u64,
    /// Further datagrams of known flows, handled like the first datagram of their flow.
    pub known_flow_datagrams: u64,
    /// Records of passed-on flows that were evicted early because the table was full.
    pub evicted_passed_flows: u64,
    /// Admitted flows that never opened.
    pub never_opened: u64,
    /// Reports sent.
    pub reports_sent: u64,
    /// Reports of peers accepted.
    pub reports_accepted: u64,
    /// Reports received that were outdated, duplicated, the agent's own or of another service.
    pub reports_ignored: u64,
    /// Admissions that were rejected because they would have broken an invariant.
    pub invariant_violations: u64,
}
