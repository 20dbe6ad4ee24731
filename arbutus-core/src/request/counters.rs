/// What the machine has counted since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Requests that came.
    pub arrived: u64,
    /// Requests put to the backend server.
    pub admitted: u64,
    /// Answers and relayed responses with the outcome `ran`.
    pub ran: u64,
    /// Answers with the outcome `not-run`.
    pub not_run: u64,
    /// Answers with the outcome `unknown`.
    pub unknown: u64,
    /// Relayed responses that were reset.
    pub aborted: u64,
    /// Requests that their callers cancelled.
    pub cancelled: u64,
    /// Retries elsewhere.
    pub retries: u64,
    /// Retries that the budget did not allow.
    pub retries_denied: u64,
    /// Requests passed on to a peer for its free slot.
    pub passed_on: u64,
    /// Requests handed to the agent of their binding.
    pub handed_over: u64,
    /// Duplicates of a key in progress or run.
    pub duplicates: u64,
    /// Requests refused since no more keys can be remembered.
    pub memory_full: u64,
    /// Events of attempts that were over.
    pub stale_events: u64,
    /// Breaches of the machine's own invariants, and events that the order of actions excludes.
    pub invariant_violations: u64,
}
