use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use indexmap::IndexMap;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Action, AgentIdentity, Attempt, Counters, Event, KeyDigest, KeyMemory, OpenRequest, Peers,
    RequestId, RetryBudget, ServiceTime,
};
use crate::{
    binding::{self, BindingClaim},
    config::{BalanceMode, RequestPolicy},
    keys::KeyRing,
    time::Timestamp,
};

/// The progress of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lifecycle {
    /// The agent is not stopping.
    Serving,
    /// New requests are refused, open requests continue.
    Stopping,
    /// The grace period is over, and all open requests have been answered.
    Stopped,
}

/// An attempt at the backend server that has ended for its caller but still holds its slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClosingAttempt {
    /// The key, if its outcome is still undecided.
    pub(super) key: Option<KeyDigest>,
    pub(super) slot_since: Timestamp,
}

/// The state machine that decides on the requests of one agent.
#[derive(Debug)]
pub struct RequestMachine {
    pub(super) identity: AgentIdentity,
    pub(super) policy: RequestPolicy,
    pub(super) balance: BalanceMode,
    pub(super) keys: Arc<KeyRing>,
    pub(super) rng: ChaCha8Rng,
    /// Random number that distinguishes this process from any other that had the same address and
    /// incarnation.
    instance: u64,
    /// Serial number of the next binding. Never decreases.
    pub(super) next_serial: u64,
    pub(super) memory: KeyMemory,
    /// Requests without a final outcome.
    pub(super) open: IndexMap<RequestId, OpenRequest>,
    /// Deadlines of all requests in `open`, and of no others.
    pub(super) deadlines: BTreeSet<(Timestamp, RequestId)>,
    /// Open requests that wait for a slot, in the order in which they were queued.
    pub(super) queue: VecDeque<RequestId>,
    /// Ended attempts whose connection is not closed yet.
    pub(super) closing: IndexMap<Attempt, ClosingAttempt>,
    /// Number of open requests that hold a slot plus the length of `closing`.
    pub(super) slots_in_use: u32,
    /// Number of open requests that were handed over and have no response yet.
    pub(super) pending_handovers: u32,
    pub(super) service_time: ServiceTime,
    /// Number of failed attempts at the backend server since its last response.
    pub(super) consecutive_failures: u32,
    pub(super) retry_budget: RetryBudget,
    pub(super) peers: Peers,
    pub(super) draining: bool,
    pub(super) lifecycle: Lifecycle,
    pub(super) counters: Counters,
    pub(super) actions: Vec<Action>,
    /// The latest time seen. Never decreases.
    now: Timestamp,
}

impl RequestMachine {
    /// Number of consecutive failed attempts from which no free slots are reported to peers.
    pub const MAX_CONSECUTIVE_FAILURES: u32 = 3;
    /// Default maximum number of remembered keys.
    pub const MAX_REMEMBERED_KEYS: usize = 100_000;

    /// Creates the state machine of an agent that has just started.
    ///
    /// `seed` must come from the operating system's random source, because it makes the bindings of
    /// different processes distinct. All times must come from one monotonic clock.
    #[must_use]
    pub fn new(
        identity: AgentIdentity,
        policy: RequestPolicy,
        balance: BalanceMode,
        keys: Arc<KeyRing>,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instance = rng.next_u64();
        Self {
            identity,
            policy,
            balance,
            keys,
            rng,
            instance,
            next_serial: 1,
            memory: KeyMemory::new(Self::MAX_REMEMBERED_KEYS),
            open: IndexMap::new(),
            deadlines: BTreeSet::new(),
            queue: VecDeque::new(),
            closing: IndexMap::new(),
            slots_in_use: 0,
            pending_handovers: 0,
            service_time: ServiceTime::default(),
            consecutive_failures: 0,
            retry_budget: RetryBudget::new(),
            peers: Peers::default(),
            draining: false,
            lifecycle: Lifecycle::Serving,
            counters: Counters::default(),
            actions: Vec::new(),
            now,
        }
    }

    /// Sets the maximum number of remembered keys.
    #[must_use]
    pub fn max_remembered_keys(mut self, keys: usize) -> Self {
        self.memory = KeyMemory::new(keys);
        self
    }

    /// Processes an event and returns the actions to carry out.
    ///
    /// Passed deadlines are processed first, so that a request whose event arrives too late has
    /// already been answered.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        let now = now.max(self.now);
        self.now = now;
        self.memory.expire(now);
        self.expire(now);
        self.dispatch(event, now);
        self.fill_slots(now);
        self.check_invariants(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which the state machine needs an [`Event::Tick`] if no other event comes
    /// before.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let latest_start = self
            .queue
            .iter()
            .filter_map(|request| self.open.get(request))
            .map(|open| self.latest_start(open))
            .min();
        deadline.into_iter().chain(latest_start).min()
    }

    /// Returns the counters since the start.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of slots in use, including those of ended attempts whose connection is
    /// not closed yet.
    #[must_use]
    pub const fn slots_in_use(&self) -> u32 {
        self.slots_in_use
    }

    /// Returns the number of requests that wait for a slot.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of free slots to report to peers.
    ///
    /// Returns 0 if the backend server keeps failing, since it would otherwise look idle and
    /// attract requests.
    #[must_use]
    pub fn free_slots(&self) -> u32 {
        let is_failing = self.consecutive_failures >= Self::MAX_CONSECUTIVE_FAILURES;
        let accepts_more =
            !self.draining && self.lifecycle == Lifecycle::Serving && self.queue.is_empty();
        if is_failing || !accepts_more {
            return 0;
        }
        self.policy.slots.saturating_sub(self.slots_in_use)
    }

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn remembered_keys(&self) -> usize {
        self.memory.len()
    }

    /// Returns whether no open request and no closing attempt is left.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.closing.is_empty()
    }

    fn dispatch(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Arrived { request, head } => self.on_arrived(request, &head, now),
            Event::Connected { attempt } => self.on_connected(attempt, now),
            Event::UpstreamHead { attempt, head } => self.on_upstream_head(attempt, head, now),
            Event::UpstreamEnded { attempt } => self.on_upstream_ended(attempt, now),
            Event::UpstreamFailed { attempt, sent } => self.on_upstream_failed(attempt, sent, now),
            Event::UpstreamClosed { attempt } => self.release_closing(attempt, now),
            Event::CallerCancelled { request } => self.on_caller_cancelled(request, now),
            Event::PeersChanged { peers } => self.peers.replace(peers),
            Event::PolicyChanged { policy, balance } => {
                self.policy = policy;
                self.balance = balance;
            }
            Event::KeysChanged { keys } => self.keys = keys,
            Event::DrainChanged { draining } => self.draining = draining,
            Event::StopBegan => self.lifecycle = self.lifecycle.max(Lifecycle::Stopping),
            Event::StopDeadline => self.on_stop_deadline(now),
            Event::Tick => {}
        }
    }

    /// Issues a binding to this agent and returns its token, or `None` if the agent is stopping and
    /// could not honor the binding.
    pub(super) fn issue_binding(&mut self, now: Timestamp) -> Option<Arc<str>> {
        if self.lifecycle != Lifecycle::Serving {
            return None;
        }
        let ttl = Duration::from_millis(self.policy.binding_ms);
        self.memory.record_issued(ttl);
        let own = &self.identity;
        let claim = BindingClaim::new(own.tunnel, own.control, own.tag, own.incarnation)
            .instance(self.instance)
            .serial(self.next_serial)
            .expires(now + ttl);
        self.next_serial += 1;
        Some(Arc::from(binding::encode(&claim, &self.keys)))
    }

    /// Returns whether `claim` was issued by this process.
    pub(super) fn is_own_binding(&self, claim: &BindingClaim) -> bool {
        claim.tunnel == self.identity.tunnel
            && claim.incarnation == self.identity.incarnation
            && claim.instance == self.instance
    }

    /// Counts a violated invariant.
    pub(super) fn record_violation(&mut self) {
        self.counters.invariant_violations += 1;
    }

    fn check_invariants(&mut self, now: Timestamp) {
        let is_overdue = self.deadlines.first().is_some_and(|(at, _)| *at <= now);
        if is_overdue || self.deadlines.len() != self.open.len() {
            self.record_violation();
        }
    }
}
