use std::time::Duration;

use crate::time::Timestamp;

/// The completeness of a balancer's view of the agents that own flows.
///
/// The store lists every agent that can reach it. An agent that the store does not list introduces
/// itself to balancers, and a balancer that starts later gets such agents from other balancers.
#[derive(Debug)]
pub(super) struct AgentView {
    started_at: Timestamp,
    /// Whether agents that the store does not list introduce themselves to this balancer.
    is_introduced: bool,
    /// Since when the store has answered every call.
    store_reachable_since: Option<Timestamp>,
    /// When the last call to the store began whose result has been applied. The view contains every
    /// agent that the store listed at that time.
    store_known_at: Option<Timestamp>,
    /// Whether the store has been unreachable since the start.
    store_was_lost: bool,
    /// When the last snapshot of another balancer arrived.
    peer_at: Option<Timestamp>,
    /// Whether a balancer with a complete view has sent its snapshot.
    peer_settled: bool,
}

impl AgentView {
    /// How long the store must have answered after the start until the view is complete: two
    /// introduction intervals of an agent that the store does not list.
    const STORE_SETTLE_TIME: Duration = Duration::from_millis(700);

    /// How long the store must have answered after an outage until the view is complete. By then
    /// agents are listed again.
    const STORE_RECOVERY_TIME: Duration = Duration::from_millis(2_500);

    /// The age of this balancer from which on a snapshot of a balancer whose own view is incomplete
    /// suffices. Earlier, that balancer may have started at the same time.
    const PEER_SETTLE_TIME: Duration = Duration::from_millis(600);

    /// How long a balancer that agents introduce themselves to, and that finds no other balancer,
    /// waits until it treats its view as complete. It covers several introduction intervals.
    const NO_PEER_TIMEOUT: Duration = Duration::from_secs(3);

    pub(super) const fn new(is_introduced: bool, now: Timestamp) -> Self {
        Self {
            started_at: now,
            is_introduced,
            store_reachable_since: None,
            store_known_at: None,
            store_was_lost: false,
            peer_at: None,
            peer_settled: false,
        }
    }

    pub(super) const fn set_introduced(&mut self, is_introduced: bool) {
        self.is_introduced = is_introduced;
    }

    pub(super) fn on_store_status(&mut self, reachable: bool, now: Timestamp) {
        if reachable {
            self.store_reachable_since.get_or_insert(now);
        } else {
            self.store_reachable_since = None;
            self.store_was_lost = true;
        }
    }

    /// Records that the changes up to a call that began at `asked_at` have been applied.
    pub(super) fn on_store_synced(&mut self, asked_at: Timestamp, now: Timestamp) {
        self.on_store_status(true, now);
        self.store_known_at = self.store_known_at.max(Some(asked_at));
    }

    /// Records that the store has come back from an older copy, which may list other agents.
    pub(super) const fn on_store_restored(&mut self, now: Timestamp) {
        self.store_reachable_since = Some(now);
        self.store_known_at = None;
        self.store_was_lost = true;
    }

    pub(super) const fn on_peer(&mut self, settled: bool, now: Timestamp) {
        self.peer_at = Some(now);
        self.peer_settled |= settled;
    }

    /// Returns whether the view is complete, so that an agent outside the view owns no flow.
    pub(super) fn is_complete(&self, now: Timestamp) -> bool {
        self.lists_agents_from().is_some_and(|from| now >= from) && self.is_synced_with_peers(now)
    }

    /// Returns from when on the store lists every agent that can reach it, if the store is reachable.
    pub(super) fn lists_agents_from(&self) -> Option<Timestamp> {
        let limit = match (self.store_was_lost, self.peer_settled) {
            (true, _) => Self::STORE_RECOVERY_TIME,
            (false, true) => Duration::ZERO,
            (false, false) => Self::STORE_SETTLE_TIME,
        };
        self.store_reachable_since.map(|since| since + limit)
    }

    /// Returns whether the view contains every agent that the store listed at `at`, when it listed
    /// every agent that could reach it.
    ///
    /// A balancer hears of a change some time before or after other balancers do. An agent on which
    /// others have placed a flow is certainly in the view if the store was asked after that.
    pub(super) fn has_listings_of(&self, at: Timestamp) -> bool {
        let from = self.lists_agents_from().map(|from| from.max(at));
        from.is_some_and(|from| self.store_known_at >= Some(from))
    }

    /// Returns the age of the view if it is complete for flows that were open at `at`.
    pub(super) fn age_if_complete_for(&self, at: Timestamp, now: Timestamp) -> Option<Duration> {
        let complete = self.has_listings_of(at) && self.is_synced_with_peers(now);
        self.store_known_at
            .filter(|_| complete)
            .map(|known_at| now.since(known_at))
    }

    /// Returns whether agents with an incomplete flow table may get a flow's packets.
    ///
    /// Backend servers must not get these packets while an agent outside the view owns the flow.
    /// If no other balancer has a complete view, all have started together, and the store lists
    /// the agents from before.
    pub(super) fn allows_trials(&self, now: Timestamp) -> bool {
        let started_together = self.peer_at.is_some() && !self.store_was_lost;
        self.is_complete(now) || (self.reaches_store() && started_together)
    }

    /// Returns whether the store answers.
    pub(super) const fn reaches_store(&self) -> bool {
        self.store_reachable_since.is_some()
    }

    /// Returns whether there may be agents that only other balancers have in their view.
    pub(super) fn needs_peer_sync(&self, now: Timestamp) -> bool {
        !self.reaches_store() || !self.is_synced_with_peers(now)
    }

    /// Returns whether a snapshot of another balancer arrived late enough after the start, or is
    /// not required.
    ///
    /// A balancer that no agent introduces itself to learns of an agent that the store does not
    /// list from other balancers only.
    pub(super) fn is_synced_with_peers(&self, now: Timestamp) -> bool {
        let late_enough = |at: Timestamp| at.since(self.started_at) >= Self::PEER_SETTLE_TIME;
        let introduced = self.is_introduced && now.since(self.started_at) >= Self::NO_PEER_TIMEOUT;
        self.peer_settled || self.peer_at.is_some_and(late_enough) || introduced
    }
}
