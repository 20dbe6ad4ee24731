//! Random runs of several operators that change the configuration in one faulty store.

use arbutus_core::{
    apply::{ChangeId, Outcome},
    config::ConfigVersion,
    time::Timestamp,
};
use proptest::{prelude::*, test_runner::RngSeed};

use super::{
    change_in_progress::{ChangeInProgress, base_of, services},
    fake_store::{FakeStore, Fault},
};

/// Number of runs if `ARBUTUS_RUNS` is not set.
const RUNS: u32 = 2_000;
/// Number of operators that change the configuration concurrently.
const OPERATORS: usize = 3;

/// One step of a run.
#[derive(Debug, Clone)]
enum Step {
    /// An operator performs the next step of its change, or begins a change.
    Advance {
        operator: usize,
        fault: Fault,
        slots: u8,
        /// Whether a new change starts from the stored configuration.
        fresh: bool,
    },
    /// The delayed swaps take effect.
    DeliverLate,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fault = prop_oneof![
        6 => Just(Fault::None),
        1 => Just(Fault::Refused),
        1 => Just(Fault::Lost),
        1 => Just(Fault::AnswerLost),
        1 => Just(Fault::Late),
    ];
    let advance = (0..OPERATORS, fault, 1..4_u8, any::<bool>()).prop_map(
        |(operator, fault, slots, fresh)| Step::Advance {
            operator,
            fault,
            slots,
            fresh,
        },
    );
    let step = prop_oneof![12 => advance, 1 => Just(Step::DeliverLate)];
    prop::collection::vec(step, 1..120)
}

#[derive(Default)]
struct Run {
    store: FakeStore,
    in_progress: [Option<ChangeInProgress>; OPERATORS],
    ended: Vec<EndedChange>,
    changes_begun: u128,
    now: Timestamp,
}

/// A change with its reported outcome.
struct EndedChange {
    id: ChangeId,
    base: ConfigVersion,
    outcome: Outcome,
}

impl Run {
    fn step(&mut self, step: &Step) {
        match *step {
            Step::DeliverLate => self.store.deliver_late(),
            Step::Advance {
                operator,
                fault,
                slots,
                fresh,
            } => {
                let change = self.in_progress[operator].take();
                let change = match change {
                    Some(mut change) => {
                        change.step(&mut self.store, fault, &mut self.now);
                        change
                    }
                    None => self.begin(operator, slots, fresh),
                };
                self.record(operator, change);
            }
        }
    }

    fn begin(&mut self, operator: usize, slots: u8, fresh: bool) -> ChangeInProgress {
        self.changes_begun += 1;
        let id = ChangeId::new(self.changes_begun.to_be_bytes());
        let base = if fresh {
            base_of(&self.store.read())
        } else {
            arbutus_core::apply::Base::default()
        };
        let words = [
            format!("lookup/{slots}"),
            format!("tables/{}", operator + 1),
        ];
        let desired = services(words.iter().map(String::as_str));
        ChangeInProgress::begin(id, base, desired, self.now)
    }

    fn record(&mut self, operator: usize, change: ChangeInProgress) {
        assert_eq!(change.apply.invariant_violations(), 0);
        match change.outcome() {
            None => self.in_progress[operator] = Some(change),
            Some(outcome) => self.ended.push(EndedChange {
                id: change.id,
                base: change.base.version,
                outcome: outcome.clone(),
            }),
        }
    }

    /// Completes all changes in progress without faults.
    fn finish(&mut self) {
        self.store.deliver_late();
        for operator in 0..OPERATORS {
            while let Some(mut change) = self.in_progress[operator].take() {
                change.step(&mut self.store, Fault::None, &mut self.now);
                self.record(operator, change);
            }
        }
    }

    /// Compares the reported outcomes with the commits in the store.
    fn check(&self) -> Result<(), TestCaseError> {
        for pair in self.store.log.windows(2) {
            prop_assert!(
                pair[0].version < pair[1].version,
                "the version did not rise"
            );
        }
        for ended in &self.ended {
            let commits: Vec<_> = self
                .store
                .log
                .iter()
                .filter(|it| it.id == ended.id)
                .collect();
            prop_assert!(commits.len() <= 1, "a change took effect twice");
            if let [commit] = commits.as_slice() {
                prop_assert_eq!(
                    commit.over,
                    ended.base,
                    "the commit replaced a version other than its base"
                );
            }
            match &ended.outcome {
                Outcome::Accepted { version, .. } => {
                    prop_assert_eq!(commits.len(), 1, "accepted, but not committed");
                    prop_assert_eq!(commits[0].version, *version);
                }
                Outcome::Unknown { .. } => {}
                other => prop_assert!(
                    commits.is_empty(),
                    "committed, but the outcome is {other:?}"
                ),
            }
        }
        let stored = self.store.read();
        let last = self.store.log.last().map(|it| it.version);
        prop_assert_eq!(stored.version(), last.unwrap_or_default());
        Ok(())
    }
}

fn runs() -> u32 {
    let wanted = std::env::var("ARBUTUS_RUNS");
    wanted.ok().and_then(|it| it.parse().ok()).unwrap_or(RUNS)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: runs(),
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn outcomes_match_the_store_and_no_change_is_overwritten(steps in steps()) {
        let mut run = Run::default();
        for step in &steps {
            run.step(step);
        }
        run.finish();
        run.check()?;
    }
}

#[test]
fn obsolete_shards_are_deleted() {
    let mut store = FakeStore::default();
    let mut now = Timestamp::ZERO;
    for round in 0..100_u8 {
        let words = [
            format!("lookup/{}", round + 1),
            format!("tables/{}", round + 1),
        ];
        let desired = services(words.iter().map(String::as_str));
        let id = ChangeId::new([round; 16]);
        let base = base_of(&store.read());
        let mut change = ChangeInProgress::begin(id, base.clone(), desired, now);
        // A second operator has written its shards before this commit and then loses the race.
        let losing = services(["lookup/250", "tables/251"]);
        let mut loser =
            ChangeInProgress::begin(ChangeId::new([round | 0x80; 16]), base, losing, now);
        for _ in 0..2 {
            loser.step(&mut store, Fault::None, &mut now);
        }
        for change in [&mut change, &mut loser] {
            while change.outcome().is_none() {
                change.step(&mut store, Fault::None, &mut now);
            }
        }
    }
    let in_force = 2;
    assert_eq!(
        store.shard_count(),
        in_force + arbutus_core::apply::Index::RETIRED_SHARD_LIMIT
    );
}
