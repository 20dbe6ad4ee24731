use std::{sync::Arc, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Action, Base, ChangeRecord, Event, Outcome, Plan, PlanError, RetryPolicy, Revision, Services,
    ShardKey, StoreFailure, StoredConfig, SwapResult, differences,
};
use crate::time::Timestamp;

/// State machine that commits one configuration change and reports its outcome.
///
/// The change is committed only over the version that the operator started from. After a lost
/// response the machine reads the store back to find out whether the change took effect, and
/// retries under the same ID if it did not, so that the change takes effect at most once.
#[derive(Debug)]
pub struct ApplyMachine {
    base: Base,
    desired: Services,
    change: ChangeRecord,
    allow_removal: bool,
    retry_policy: RetryPolicy,
    rng: ChaCha8Rng,
    state: State,
    /// Time of the first attempt.
    started_at: Timestamp,
    /// Number of failed attempts so far.
    failed_attempts: u32,
    /// Whether the result of at least one swap is unknown; never reset, since a delayed swap may
    /// still take effect.
    in_doubt: bool,
    /// Shards that were sent to the store for this change.
    sent_shards: Vec<ShardKey>,
    /// Number of events that did not match the state, and of planned versions that were not above
    /// the stored version.
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
    /// Creates the machine for one change from `base` to `desired`.
    #[must_use]
    pub fn new(base: Base, desired: Services, change: ChangeRecord, seed: u64) -> Self {
        Self {
            base,
            desired,
            change,
            allow_removal: false,
            retry_policy: RetryPolicy::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            state: State::Idle,
            started_at: Timestamp::ZERO,
            failed_attempts: 0,
            in_doubt: false,
            sent_shards: Vec::new(),
            invariant_violations: 0,
        }
    }

    /// Sets whether the change may remove services.
    #[must_use]
    pub const fn allow_removal(mut self, allowed: bool) -> Self {
        self.allow_removal = allowed;
        self
    }

    /// Sets the retry policy.
    #[must_use]
    pub fn retry_policy(mut self, retry_policy: RetryPolicy) -> Self {
        self.retry_policy = retry_policy;
        self
    }

    /// Returns the time at which [`Event::Woken`] is due.
    #[must_use]
    pub const fn next_wakeup(&self) -> Option<Timestamp> {
        match self.state {
            State::Waiting { until } => Some(until),
            _ => None,
        }
    }

    /// Returns the number of invariant violations: events that do not match the state, and planned
    /// versions that are not above the stored version.
    #[must_use]
    pub const fn invariant_violations(&self) -> u64 {
        self.invariant_violations
    }

    /// Handles one event and returns the next action.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Action {
        let state = std::mem::replace(&mut self.state, State::Idle);
        match (state, event) {
            (State::Finished(outcome), _) => self.finish(outcome),
            (State::Idle, Event::Started) => {
                self.started_at = now;
                self.read()
            }
            (State::Waiting { until }, Event::Woken) if now < until => {
                self.state = State::Waiting { until };
                Action::Wait
            }
            (State::Waiting { .. }, Event::Woken) => self.read(),
            (State::Reading, Event::Read(Ok(stored))) => self.on_read(&stored),
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
                self.retry(&"the index changed between read and swap".into(), now)
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
                self.on_store_failure(failure, now)
            }
            _ => {
                self.invariant_violations += 1;
                self.in_doubt = true;
                self.abandon("received an event that does not match the state of the change".into())
            }
        }
    }

    fn read(&mut self) -> Action {
        self.state = State::Reading;
        Action::Read
    }

    /// Compares the stored configuration with the base and plans the change.
    fn on_read(&mut self, stored: &StoredConfig) -> Action {
        if let Some(outcome) = self.decided_outcome(stored) {
            return self.finish(outcome);
        }
        let plan = match Plan::new(stored, &self.base, &self.desired, &self.change) {
            Ok(plan) => plan,
            Err(error) => return self.finish(plan_error_outcome(&error, stored)),
        };
        if plan.index.version <= stored.version() {
            self.invariant_violations += 1;
            return self.abandon("the new version would not be above the stored version".into());
        }
        if plan.shards.is_empty() {
            return self.swap(stored.revision, plan);
        }
        let shards = plan.shards.clone();
        self.sent_shards
            .extend(shards.iter().map(|it| it.key.clone()));
        let expected = stored.revision;
        self.state = State::WritingShards { expected, plan };
        Action::WriteShards(shards)
    }

    /// Returns the outcome if the stored configuration already determines it.
    fn decided_outcome(&self, stored: &StoredConfig) -> Option<Outcome> {
        let changes = || stored.index.iter().flat_map(super::Index::changes);
        if let Some(own_change) = changes().find(|it| it.id == self.change.id) {
            let version = own_change.version;
            let later = stored.version() > version;
            return Some(Outcome::Accepted {
                version,
                superseded_by: later.then(|| stored.version()),
                obsolete: Vec::new(),
            });
        }
        if !self.matches_base(stored) {
            let in_history = changes().any(|it| it.version == self.base.version)
                || self.base.version.get() == 0 && changes().count() <= super::Index::HISTORY_LIMIT;
            if self.in_doubt && !in_history {
                let reason = "more changes followed than the store remembers";
                return Some(Outcome::Unknown {
                    reason: reason.into(),
                });
            }
            return Some(self.lost_race(stored));
        }
        let removed = self.removed_services(stored);
        if !self.allow_removal && !removed.is_empty() {
            return Some(Outcome::RemovalRefused { services: removed });
        }
        None
    }

    /// Returns whether the store still holds the version that the operator started from.
    fn matches_base(&self, stored: &StoredConfig) -> bool {
        let change = stored.index.as_ref().map(|index| index.change.id);
        let same_change = self.base.change.is_none() || self.base.change == change;
        stored.version() == self.base.version && same_change
    }

    fn lost_race(&self, stored: &StoredConfig) -> Outcome {
        let version = stored.version();
        let services = stored.plain_services();
        if services == self.desired && stored.index.is_some() {
            return Outcome::AlreadyInForce { version };
        }
        Outcome::LostRace {
            version,
            by: stored.author(),
            theirs: differences(&self.base.services, &services),
            obsolete: self.orphaned_shards(stored),
        }
    }

    /// Returns the shards of this change that no index lists or will ever list.
    ///
    /// The base version has been replaced, so no swap over it can succeed any more. Shards contain
    /// the version that they were written for, so no later change produces the same shards.
    fn orphaned_shards(&self, stored: &StoredConfig) -> Vec<ShardKey> {
        let retired = stored.index.iter().flat_map(|index| &index.retired);
        let listed: Vec<_> = stored.shards().chain(retired).collect();
        let orphaned = self.sent_shards.iter().filter(|key| !listed.contains(key));
        orphaned.cloned().collect()
    }

    fn removed_services(&self, stored: &StoredConfig) -> Vec<Arc<str>> {
        let is_removed = |tag| !self.desired.contains_key(tag);
        let services = stored.services.iter().filter(|(tag, _)| is_removed(*tag));
        services.map(|(_, it)| it.service.name.clone()).collect()
    }

    fn swap(&mut self, expected: Revision, plan: Plan) -> Action {
        let bytes = plan.index.encode();
        self.state = State::Swapping { plan };
        Action::SwapIndex { expected, bytes }
    }

    fn on_store_failure(&mut self, failure: StoreFailure, now: Timestamp) -> Action {
        match failure {
            StoreFailure::Unreadable(reason) => self.abandon(reason),
            StoreFailure::NotApplied(reason) | StoreFailure::Unknown(reason) => {
                self.retry(&reason, now)
            }
        }
    }

    /// Schedules another attempt, which starts with a fresh read, unless it would begin after
    /// the retry timeout.
    fn retry(&mut self, reason: &Arc<str>, now: Timestamp) -> Action {
        let until = now + self.backoff();
        self.failed_attempts += 1;
        if until.since(self.started_at) > self.retry_policy.retry_timeout {
            return self.abandon(reason.clone());
        }
        self.state = State::Waiting { until };
        Action::Wait
    }

    /// Returns a random delay of 50 % to 100 % of an exponentially growing bound.
    fn backoff(&mut self) -> Duration {
        let factor = 1_u32 << self.failed_attempts.min(16);
        let bound = self.retry_policy.initial_backoff.saturating_mul(factor);
        let bound = bound.min(self.retry_policy.max_backoff);
        bound.mul_f64(self.rng.random_range(0.5..1.0))
    }

    /// Ends the change: as unknown if a swap may have taken effect, otherwise as not accepted.
    fn abandon(&mut self, reason: Arc<str>) -> Action {
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

fn plan_error_outcome(error: &PlanError, stored: &StoredConfig) -> Outcome {
    match *error {
        PlanError::NothingToDo => Outcome::AlreadyInForce {
            version: stored.version(),
        },
        PlanError::TooLarge { shard, bytes } => Outcome::TooLarge { shard, bytes },
    }
}
