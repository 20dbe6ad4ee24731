//! Randomized runs of several agents, callers that retry, and backend servers that fail.
//!
//! A journal outside the state machines checks the guarantees: a key runs at most once under its
//! binding, `not-run` and `ran` are never reported falsely, every request is settled by its
//! deadline, and slots are not exceeded. `PROPTEST_CASES` sets the number of runs and
//! `PROPTEST_RNG_SEED` the seed.

mod delivery;
mod in_flight;
mod journal;
mod process;
mod step;
mod world;

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};

const CASES: u32 = 400;
const SEED: u64 = 20_261_203;

fn config() -> Config {
    let mut cfg = Config {
        failure_persistence: None,
        ..Config::default()
    };
    if std::env::var_os("PROPTEST_CASES").is_none() {
        cfg.cases = CASES;
    }
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        cfg.rng_seed = RngSeed::Fixed(SEED);
    }
    cfg
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn guarantees_hold_under_concurrent_retries_and_faults(
        shape in step::shape(),
        steps in vec(step::step(), 1..160),
    ) {
        let mut world = world::World::new(&shape);
        for step in &steps {
            world.apply(step);
        }
        world.settle();
    }
}
