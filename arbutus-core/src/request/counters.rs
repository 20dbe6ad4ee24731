/// Counters of [`RequestMachine`](super::RequestMachine) since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Requests that arrived.
    pub arrived: u64,
    /// Attempts at the backend server.
    pub admitted: u64,
    /// Answers and relayed responses with the outcome `ran`.
    pub ran: u64,
    /// Answers with the outcome `not-run`.
    pub not_run: u64,
    /// Answers with the outcome `unknown`.
    pub unknown: u64,
    /// Relayed responses that were reset.
    pub aborted: u64,
    /// Requests cancelled by their callers.
    pub cancelled: u64,
    /// Retries at a peer, or here after a failed attempt at a peer.
    pub retries: u64,
    /// Retries denied by the retry budget.
    pub retries_denied: u64,
    /// Requests passed on to a peer because no slot was free here.
    pub passed_on: u64,
    /// Requests handed over to the agent that issued their binding.
    pub handed_over: u64,
    /// Duplicates of a key that is in progress or has ended.
    pub duplicates: u64,
    /// Requests refused because no more keys can be remembered.
    pub memory_full: u64,
    /// Events of attempts that had already ended.
    pub stale_events: u64,
    /// Violated invariants, and events that contradict the actions before them.
    pub invariant_violations: u64,
}
