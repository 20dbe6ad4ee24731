//! Long random runs of several operators over one store that fails at any moment.

use arbutus_core::{
    apply::{ChangeId, Outcome},
    config::ConfigVersion,
    time::Timestamp,
};
use proptest::{prelude::*, test_runner::RngSeed};

use super::{
    desk::{Desk, base_of, services},
    fake_store::{FakeStore, Fault},
};

/// Runs where `ARBUTUS_RUNS` names no other number.
const RUNS: u32 = 2_000;
/// Windows that change the configuration at once.
const WINDOWS: usize = 3;

/// One step of a run.
#[derive(Debug, Clone)]
enum Step {
    /// A window goes on; one without a change under way begins one.
    Go {
        window: usize,
        fault: Fault,
        slots: u8,
        /// Whether a new change is based on what the store holds now.
        fresh: bool,
    },
    /// Delayed swaps take effect.
    Deliver,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fault = prop_oneof![
        6 => Just(Fault::None),
        1 => Just(Fault::Refused),
        1 => Just(Fault::Lost),
        1 => Just(Fault::AnswerLost),
        1 => Just(Fault::Late),
    ];
    let go =
        (0..WINDOWS, fault, 1..4_u8, any::<bool>()).prop_map(|(window, fault, slots, fresh)| {
            Step::Go {
                window,
                fault,
                slots,
                fresh,
            }
        });
    let step = prop_oneof![12 => go, 1 => Just(Step::Deliver)];
    prop::collection::vec(step, 1..120)
}

#[derive(Default)]
struct Run {
    store: FakeStore,
    desks: [Option<Desk>; WINDOWS],
    ended: Vec<Ended>,
    changes: u128,
    now: Timestamp,
}

/// A change with its reported end.
struct Ended {
    id: ChangeId,
    base: ConfigVersion,
    outcome: Outcome,
}

impl Run {
    fn step(&mut self, step: &Step) {
        match *step {
            Step::Deliver => self.store.deliver_late(),
            Step::Go {
                window,
                fault,
                slots,
                fresh,
            } => {
                let desk = self.desks[window].take();
                let desk = match desk {
                    Some(mut desk) => {
                        desk.step(&mut self.store, fault, &mut self.now);
                        desk
                    }
                    None => self.begin(window, slots, fresh),
                };
                self.keep(window, desk);
            }
        }
    }

    fn begin(&mut self, window: usize, slots: u8, fresh: bool) -> Desk {
        self.changes += 1;
        let id = ChangeId::new(self.changes.to_be_bytes());
        let base = if fresh {
            base_of(&self.store.read())
        } else {
            arbutus_core::apply::Base::default()
        };
        let words = [format!("lookup/{slots}"), format!("tables/{}", window + 1)];
        let wanted = services(words.iter().map(String::as_str));
        Desk::begin(id, base, wanted, self.now)
    }

    fn keep(&mut self, window: usize, desk: Desk) {
        assert_eq!(desk.apply.invariant_violations(), 0);
        match desk.outcome() {
            None => self.desks[window] = Some(desk),
            Some(outcome) => self.ended.push(Ended {
                id: desk.id,
                base: desk.base.version,
                outcome: outcome.clone(),
            }),
        }
    }

    /// Ends what is under way without faults.
    fn finish(&mut self) {
        self.store.deliver_late();
        for window in 0..WINDOWS {
            while let Some(mut desk) = self.desks[window].take() {
                desk.step(&mut self.store, Fault::None, &mut self.now);
                self.keep(window, desk);
            }
        }
    }

    /// Compares what was reported with what the store took.
    fn check(&self) -> Result<(), TestCaseError> {
        for pair in self.store.log.windows(2) {
            prop_assert!(pair[0].version < pair[1].version, "a version fell");
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
                prop_assert_eq!(commit.over, ended.base, "a change was overwritten unseen");
            }
            match &ended.outcome {
                Outcome::Accepted { version, .. } => {
                    prop_assert_eq!(commits.len(), 1, "accepted, and not in the store");
                    prop_assert_eq!(commits[0].version, *version);
                }
                Outcome::Unknown { .. } => {}
                other => prop_assert!(commits.is_empty(), "in the store, but {other:?}"),
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
    fn every_report_is_true_and_nothing_is_overwritten_unseen(steps in steps()) {
        let mut run = Run::default();
        for step in &steps {
            run.step(step);
        }
        run.finish();
        run.check()?;
    }
}

#[test]
fn old_shards_do_not_pile_up() {
    let mut store = FakeStore::default();
    let mut now = Timestamp::ZERO;
    for round in 0..100_u8 {
        let words = [
            format!("lookup/{}", round + 1),
            format!("tables/{}", round + 1),
        ];
        let wanted = services(words.iter().map(String::as_str));
        let id = ChangeId::new([round; 16]);
        let base = base_of(&store.read());
        let mut desk = Desk::begin(id, base.clone(), wanted, now);
        // Another window has written its shards when this one commits, and loses.
        let late = services(["lookup/250", "tables/251"]);
        let mut loser = Desk::begin(ChangeId::new([round | 0x80; 16]), base, late, now);
        for _ in 0..2 {
            loser.step(&mut store, Fault::None, &mut now);
        }
        for desk in [&mut desk, &mut loser] {
            while desk.outcome().is_none() {
                desk.step(&mut store, Fault::None, &mut now);
            }
        }
    }
    let in_force = 2;
    assert_eq!(
        store.shard_count(),
        in_force + arbutus_core::apply::Index::RETIRED_SHARD_LIMIT
    );
}
