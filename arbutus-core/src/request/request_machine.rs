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

/// How far a stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Stop {
    /// No stop.
    Serving,
    /// What arrives is refused, what is open goes on.
    Stopping,
    /// Nothing goes on.
    Stopped,
}

/// An attempt at the backend server that is over for its caller but still holds its slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct Closing {
    pub(super) key: Option<KeyDigest>,
    pub(super) slot_since: Timestamp,
}

/// The decisions of one agent on requests.
#[derive(Debug)]
pub struct RequestMachine {
    pub(super) identity: AgentIdentity,
    pub(super) policy: RequestPolicy,
    pub(super) balance: BalanceMode,
    pub(super) keys: Arc<KeyRing>,
    pub(super) rng: ChaCha8Rng,
    /// Tells this process from any other that ever had its address and incarnation.
    instance: u64,
    /// Number of the next binding. Never falls.
    pub(super) next_serial: u64,
    pub(super) memory: KeyMemory,
    /// Requests without a final outcome.
    pub(super) open: IndexMap<RequestId, OpenRequest>,
    /// Deadlines of all open requests, and of nothing else.
    pub(super) deadlines: BTreeSet<(Timestamp, RequestId)>,
    /// Open requests that wait for a slot, first come first.
    pub(super) queue: VecDeque<RequestId>,
    pub(super) closing: IndexMap<Attempt, Closing>,
    /// Open requests that hold a slot, and all of `closing`.
    pub(super) in_hand: u32,
    /// Open requests at the agents of their bindings.
    pub(super) at_owners: u32,
    pub(super) service_time: ServiceTime,
    /// Attempts at the backend server that failed since the last one that it answered.
    pub(super) failures_in_row: u32,
    pub(super) budget: RetryBudget,
    pub(super) peers: Peers,
    pub(super) draining: bool,
    pub(super) stop: Stop,
    pub(super) counters: Counters,
    pub(super) actions: Vec<Action>,
    /// The latest time seen. Never falls.
    now: Timestamp,
}

impl RequestMachine {
    /// Failed attempts in a row after which peers are told of no room.
    pub const MAX_CONSECUTIVE_FAILURES: u32 = 3;
    /// How many keys are remembered at once.
    pub const MAX_REMEMBERED_KEYS: usize = 100_000;

    /// Makes the machine of an agent that has just started.
    ///
    /// `seed` must come from the operating system's random source: it makes bindings of two
    /// processes differ. Times must come from one monotonic clock.
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
            in_hand: 0,
            at_owners: 0,
            service_time: ServiceTime::default(),
            failures_in_row: 0,
            budget: RetryBudget::new(),
            peers: Peers::default(),
            draining: false,
            stop: Stop::Serving,
            counters: Counters::default(),
            actions: Vec::new(),
            now,
        }
    }

    /// Sets how many keys are remembered at once.
    #[must_use]
    pub fn max_remembered_keys(mut self, keys: usize) -> Self {
        self.memory = KeyMemory::new(keys);
        self
    }

    /// Takes in one event.
    ///
    /// Deadlines that have passed are dealt with first, so that an event that comes too late
    /// finds its request answered.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        let now = now.max(self.now);
        self.now = now;
        self.memory.expire(now);
        self.expire(now);
        self.take_in(event, now);
        self.fill_slots(now);
        self.check(now);
        std::mem::take(&mut self.actions)
    }

    /// When the machine wants an [`Event::Tick`] if nothing else comes before.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let refusal = self
            .queue
            .iter()
            .filter_map(|request| self.open.get(request))
            .map(|open| self.latest_start(open))
            .min();
        deadline.into_iter().chain(refusal).min()
    }

    /// What was counted so far.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Slots that are taken, those of cancelled requests that still close their connection
    /// included.
    #[must_use]
    pub const fn slots_in_use(&self) -> u32 {
        self.in_hand
    }

    /// Requests that wait for a slot.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Slots that peers may count on. A backend server that fails looks idle, so it has none.
    #[must_use]
    pub fn free_slots(&self) -> u32 {
        let is_failing = self.failures_in_row >= Self::MAX_CONSECUTIVE_FAILURES;
        let takes_more = !self.draining && self.stop == Stop::Serving && self.queue.is_empty();
        if is_failing || !takes_more {
            return 0;
        }
        self.policy.slots.saturating_sub(self.in_hand)
    }

    /// Keys that are remembered.
    #[must_use]
    pub fn remembered_keys(&self) -> usize {
        self.memory.len()
    }

    /// Whether no request is left, at the end of a stop.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.closing.is_empty()
    }

    fn take_in(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Arrived { request, head } => self.arrive(request, &head, now),
            Event::Connected { attempt } => self.connected(attempt, now),
            Event::UpstreamHead { attempt, head } => self.upstream_head(attempt, head, now),
            Event::UpstreamEnded { attempt } => self.upstream_ended(attempt, now),
            Event::UpstreamFailed { attempt, sent } => self.upstream_failed(attempt, sent, now),
            Event::UpstreamClosed { attempt } => self.release_closing(attempt, now),
            Event::CallerCancelled { request } => self.caller_cancelled(request, now),
            Event::PeersChanged { peers } => self.peers.replace(peers),
            Event::PolicyChanged { policy, balance } => {
                self.policy = policy;
                self.balance = balance;
            }
            Event::KeysChanged { keys } => self.keys = keys,
            Event::DrainChanged { draining } => self.draining = draining,
            Event::StopBegan => self.stop = self.stop.max(Stop::Stopping),
            Event::StopDeadline => self.stop_now(now),
            Event::Tick => {}
        }
    }

    /// A fresh binding to this agent, or none where this agent will not be there to honour it.
    pub(super) fn offer(&mut self, now: Timestamp) -> Option<Arc<str>> {
        if self.stop != Stop::Serving {
            return None;
        }
        let life = Duration::from_millis(self.policy.binding_ms);
        self.memory.issued(life);
        let at = &self.identity;
        let claim = BindingClaim::new(at.tunnel, at.control, at.tag, at.incarnation)
            .instance(self.instance)
            .serial(self.next_serial)
            .expires(now + life);
        self.next_serial += 1;
        Some(Arc::from(binding::encode(&claim, &self.keys)))
    }

    /// Whether `claim` was issued by this very process.
    pub(super) fn is_own(&self, claim: &BindingClaim) -> bool {
        claim.tunnel == self.identity.tunnel
            && claim.incarnation == self.identity.incarnation
            && claim.instance == self.instance
    }

    /// Counts a breach of an invariant.
    pub(super) fn violated(&mut self) {
        self.counters.invariant_violations += 1;
    }

    fn check(&mut self, now: Timestamp) {
        let overdue = self.deadlines.first().is_some_and(|(at, _)| *at <= now);
        if overdue || self.deadlines.len() != self.open.len() {
            self.violated();
        }
    }
}
