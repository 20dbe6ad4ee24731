/// What flow admission has done since its start.
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
    /// Further datagrams that went where the first of their flow went.
    pub repeated: u64,
    /// Flows passed on that were forgotten early for want of space.
    pub forgotten: u64,
    /// Admitted flows that never opened.
    pub never_opened: u64,
    /// Reports sent.
    pub reports_sent: u64,
    /// Reports of peers taken in.
    pub reports_taken: u64,
    /// Reports of peers that were late, repeated, or of another service.
    pub reports_ignored: u64,
    /// Decisions that would have broken an invariant and were not carried out.
    pub invariant_violations: u64,
}
