use std::{sync::Arc, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Action, Base, ChangeRecord, Event, Outcome, Plan, PlanError, RetryPolicy, Revision, Services,
    ShardKey, StoreFailure, StoredConfig, SwapResult, differences,
};
use crate::time::Timestamp;

/// Brings one change into the store and tells truly what became of it.
///
/// The change is swapped in only over the version that the operator started from. It is sent again
/// under the same ID after a lost answer, so that it takes effect at most once; whether it did is
/// found by reading back.
#[derive(Debug)]
pub struct ApplyMachine {
    base: Base,
    desired: Services,
    change: ChangeRecord,
    allow_removal: bool,
    tunables: RetryPolicy,
    rng: ChaCha8Rng,
    state: State,
    /// When the change was first tried.
    started: Timestamp,
    /// Failed tries so far.
    failures: u32,
    /// Whether a swap was sent whose answer is not known; it never goes back to false.
    in_doubt: bool,
    /// Shards that were sent to the store for this change.
    sent: Vec<ShardKey>,
    /// Times that the machine was told something impossible.
    invariant_violations: u64,
}

#[derive(Debug)]
enum State {
    Idle,
    Reading,
    WritingShards { expected: Revision, plan: Plan },
    Swapping { plan: Plan },
    Waiting { until: Timestamp },
    Finished(Outcome),
}

impl ApplyMachine {
    /// Makes the machine for one change to `desired` from `base`.
    #[must_use]
    pub fn new(base: Base, desired: Services, change: ChangeRecord, seed: u64) -> Self {
        Self {
            base,
            desired,
            change,
            allow_removal: false,
            tunables: RetryPolicy::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            state: State::Idle,
            started: Timestamp::ZERO,
            failures: 0,
            in_doubt: false,
            sent: Vec::new(),
            invariant_violations: 0,
        }
    }

    /// Sets whether services may be removed.
    #[must_use]
    pub const fn allow_removal(mut self, allowed: bool) -> Self {
        self.allow_removal = allowed;
        self
    }

    /// Sets how long and how often the change is tried.
    #[must_use]
    pub fn retry_policy(mut self, tunables: RetryPolicy) -> Self {
        self.tunables = tunables;
        self
    }

    /// When [`Event::Woken`] is wanted.
    #[must_use]
    pub const fn next_wakeup(&self) -> Option<Timestamp> {
        match self.state {
            State::Waiting { until } => Some(until),
            _ => None,
        }
    }

    /// Times that the machine was told something impossible; each ended the change as unknown.
    #[must_use]
    pub const fn invariant_violations(&self) -> u64 {
        self.invariant_violations
    }

    /// Takes one event and says what to do next.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Action {
        let state = std::mem::replace(&mut self.state, State::Idle);
        match (state, event) {
            (State::Finished(outcome), _) => self.finish(outcome),
            (State::Idle, Event::Started) => {
                self.started = now;
                self.read()
            }
            (State::Waiting { until }, Event::Woken) if now < until => {
                self.state = State::Waiting { until };
                Action::Wait
            }
            (State::Waiting { .. }, Event::Woken) => self.read(),
            (State::Reading, Event::Read(Ok(stored))) => self.judge(&stored),
            (State::WritingShards { expected, plan }, Event::ShardsWritten(Ok(()))) => {
                self.swap(expected, plan)
            }
            (State::Swapping { plan }, Event::Swapped(Ok(SwapResult::Done))) => {
                self.finish(Outcome::Accepted {
                    version: plan.index.version,
                    superseded_by: None,
                    obsolete: plan.obsolete,
                })
            }
            (State::Swapping { .. }, Event::Swapped(Ok(SwapResult::Mismatch))) => {
                self.retry(&"the index changes while it is read".into(), now)
            }
            (State::Swapping { .. }, Event::Swapped(Err(StoreFailure::NotApplied(reason)))) => {
                self.retry(&reason, now)
            }
            (
                State::Swapping { .. },
                Event::Swapped(Err(
                    StoreFailure::Unknown(reason) | StoreFailure::Unreadable(reason),
                )),
            ) => {
                self.in_doubt = true;
                self.retry(&reason, now)
            }
            (State::Reading, Event::Read(Err(failure)))
            | (State::WritingShards { .. }, Event::ShardsWritten(Err(failure))) => {
                self.fail(failure, now)
            }
            _ => {
                self.invariant_violations += 1;
                self.in_doubt = true;
                self.give_up("an answer came that was not asked for".into())
            }
        }
    }

    fn read(&mut self) -> Action {
        self.state = State::Reading;
        Action::Read
    }

    /// Compares what the store holds with the base and with the change itself.
    fn judge(&mut self, stored: &StoredConfig) -> Action {
        if let Some(outcome) = self.settled(stored) {
            return self.finish(outcome);
        }
        let plan = match Plan::new(stored, &self.base, &self.desired, &self.change) {
            Ok(plan) => plan,
            Err(error) => return self.finish(refusal(&error, stored)),
        };
        if plan.index.version <= stored.version() {
            self.invariant_violations += 1;
            return self.give_up("the new version would not be above the stored one".into());
        }
        if plan.shards.is_empty() {
            return self.swap(stored.revision, plan);
        }
        let shards = plan.shards.clone();
        self.sent.extend(shards.iter().map(|it| it.key.clone()));
        let expected = stored.revision;
        self.state = State::WritingShards { expected, plan };
        Action::WriteShards(shards)
    }

    /// The outcome, where the stored configuration already tells it.
    fn settled(&self, stored: &StoredConfig) -> Option<Outcome> {
        let changes = || stored.index.iter().flat_map(super::Index::changes);
        if let Some(own) = changes().find(|it| it.id == self.change.id) {
            let version = own.version;
            let later = stored.version() > version;
            return Some(Outcome::Accepted {
                version,
                superseded_by: later.then(|| stored.version()),
                obsolete: Vec::new(),
            });
        }
        if !self.is_base(stored) {
            let remembered = changes().any(|it| it.version == self.base.version)
                || self.base.version.get() == 0 && changes().count() <= super::Index::HISTORY_LIMIT;
            if self.in_doubt && !remembered {
                let reason = "more changes followed than the store remembers";
                return Some(Outcome::Unknown {
                    reason: reason.into(),
                });
            }
            return Some(self.lost(stored));
        }
        let removed = self.removed(stored);
        if !self.allow_removal && !removed.is_empty() {
            return Some(Outcome::RemovalRefused { services: removed });
        }
        None
    }

    /// Whether the store still holds the version that the operator started from.
    fn is_base(&self, stored: &StoredConfig) -> bool {
        let change = stored.index.as_ref().map(|index| index.change.id);
        let same_change = self.base.change.is_none() || self.base.change == change;
        stored.version() == self.base.version && same_change
    }

    fn lost(&self, stored: &StoredConfig) -> Outcome {
        let version = stored.version();
        let services = stored.plain_services();
        if services == self.desired && stored.index.is_some() {
            return Outcome::AlreadyInForce { version };
        }
        Outcome::LostRace {
            version,
            by: stored.author(),
            theirs: differences(&self.base.services, &services),
            obsolete: self.orphans(stored),
        }
    }

    /// Shards of this change that no index names or ever will.
    ///
    /// The base is gone, so that no swap over it can succeed any more; and a shard names the
    /// version that it was made for, so that no later change makes the same one again.
    fn orphans(&self, stored: &StoredConfig) -> Vec<ShardKey> {
        let retired = stored.index.iter().flat_map(|index| &index.retired);
        let named: Vec<_> = stored.shards().chain(retired).collect();
        let sent = self.sent.iter().filter(|key| !named.contains(key));
        sent.cloned().collect()
    }

    fn removed(&self, stored: &StoredConfig) -> Vec<Arc<str>> {
        let gone = |tag| !self.desired.contains_key(tag);
        let services = stored.services.iter().filter(|(tag, _)| gone(*tag));
        services.map(|(_, it)| it.service.name.clone()).collect()
    }

    fn swap(&mut self, expected: Revision, plan: Plan) -> Action {
        let bytes = plan.index.encode();
        self.state = State::Swapping { plan };
        Action::SwapIndex { expected, bytes }
    }

    fn fail(&mut self, failure: StoreFailure, now: Timestamp) -> Action {
        match failure {
            StoreFailure::Unreadable(reason) => self.give_up(reason),
            StoreFailure::NotApplied(reason) | StoreFailure::Unknown(reason) => {
                self.retry(&reason, now)
            }
        }
    }

    /// Waits and begins again from a fresh read, unless the time is over.
    fn retry(&mut self, reason: &Arc<str>, now: Timestamp) -> Action {
        let until = now + self.backoff();
        self.failures += 1;
        if until.since(self.started) > self.tunables.retry_timeout {
            return self.give_up(reason.clone());
        }
        self.state = State::Waiting { until };
        Action::Wait
    }

    /// A random wait below an exponentially growing bound.
    fn backoff(&mut self) -> Duration {
        let factor = 1_u32 << self.failures.min(16);
        let longest = self.tunables.initial_backoff.saturating_mul(factor);
        let longest = longest.min(self.tunables.max_backoff);
        longest.mul_f64(self.rng.random_range(0.5..1.0))
    }

    fn give_up(&mut self, reason: Arc<str>) -> Action {
        self.finish(if self.in_doubt {
            Outcome::Unknown { reason }
        } else {
            Outcome::NotAccepted { reason }
        })
    }

    fn finish(&mut self, outcome: Outcome) -> Action {
        self.state = State::Finished(outcome.clone());
        Action::Finish(outcome)
    }
}

fn refusal(error: &PlanError, stored: &StoredConfig) -> Outcome {
    match *error {
        PlanError::NothingToDo => Outcome::AlreadyInForce {
            version: stored.version(),
        },
        PlanError::TooLarge { shard, bytes } => Outcome::TooLarge { shard, bytes },
    }
}
