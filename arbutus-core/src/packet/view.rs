use std::time::Duration;

use crate::time::Timestamp;

/// How far a balancer may trust that it knows every agent that holds a flow.
///
/// The store lists every agent that reaches it. One that the store has turned away makes itself
/// known to balancers by itself, and those that start later ask others.
#[derive(Debug)]
pub(super) struct View {
    started_at: Timestamp,
    /// Since when every call to the store was answered.
    store_since: Option<Timestamp>,
    /// Whether the store has been away since the start.
    store_was_lost: bool,
    /// When another balancer last told what it knows.
    peer_at: Option<Timestamp>,
    /// Whether one that trusted its own view has told.
    peer_settled: bool,
}

impl View {
    /// How long the store must have answered after the start: two introductions of an agent that it
    /// does not list.
    const STORE_SETTLED: Duration = Duration::from_millis(700);

    /// How long it must have answered after it was away: by then agents are listed again.
    const STORE_REGAINED: Duration = Duration::from_millis(2_500);

    /// How long after its start a balancer may learn of agents from others that start too.
    const PEER_SETTLED: Duration = Duration::from_millis(600);

    /// How long a balancer that finds no other one waits.
    const ALONE: Duration = Duration::from_secs(3);

    pub(super) const fn new(now: Timestamp) -> Self {
        Self {
            started_at: now,
            store_since: None,
            store_was_lost: false,
            peer_at: None,
            peer_settled: false,
        }
    }

    pub(super) fn on_store(&mut self, answers: bool, now: Timestamp) {
        if answers {
            self.store_since.get_or_insert(now);
        } else {
            self.store_since = None;
            self.store_was_lost = true;
        }
    }

    pub(super) const fn on_peer(&mut self, settled: bool, now: Timestamp) {
        self.peer_at = Some(now);
        self.peer_settled |= settled;
    }

    /// Whether an agent that is not known holds no flow.
    pub(super) fn is_complete(&self, now: Timestamp) -> bool {
        let limit = match (self.store_was_lost, self.peer_settled) {
            (true, _) => Self::STORE_REGAINED,
            (false, true) => Duration::ZERO,
            (false, false) => Self::STORE_SETTLED,
        };
        let settled = |since: Timestamp| now.since(since) >= limit;
        self.store_since.is_some_and(settled) && self.knows_peers(now)
    }

    /// Whether agents that cannot tell may be given a flow's packets: other backend servers must not
    /// get them while an agent that is not known holds the flow.
    ///
    /// Where no other balancer trusts its view, all have started together, and agents are listed
    /// from before.
    pub(super) fn may_try(&self, now: Timestamp) -> bool {
        let started_together = self.peer_at.is_some() && !self.store_was_lost;
        self.is_complete(now) || (self.reaches_store() && started_together)
    }

    /// Whether the store answers.
    pub(super) const fn reaches_store(&self) -> bool {
        self.store_since.is_some()
    }

    /// Whether agents may have come that only other balancers know.
    pub(super) fn needs_peers(&self, now: Timestamp) -> bool {
        !self.reaches_store() || !self.knows_peers(now)
    }

    /// Whether what other balancers know has been asked for late enough, or need not be.
    pub(super) fn knows_peers(&self, now: Timestamp) -> bool {
        let asked = |at: Timestamp| at.since(self.started_at) >= Self::PEER_SETTLED;
        self.peer_settled
            || self.peer_at.is_some_and(asked)
            || now.since(self.started_at) >= Self::ALONE
    }
}
