use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use arbutus_core::time::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{load::Load, tally::Tally};

/// Runs the baseline: slots behind an unbounded queue.
///
/// Queued requests run even after their deadline, when the caller no longer waits for an answer.
pub(super) fn run(load: &Load, seed: u64, time: Duration) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut exponential = |mean_s: f64| {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean_s)
    };
    let service_s = load.mean_service_time.as_secs_f64();
    let percent = f64::from(load.offered_percent);
    let gap_s = service_s / f64::from(load.policy.slots) * 100.0 / percent;
    let deadline = Duration::from_millis(load.policy.deadline_ms);
    let end = Timestamp::ZERO + time;

    let mut tally = Tally::new();
    let mut queue: VecDeque<Timestamp> = VecDeque::new();
    let mut running: BinaryHeap<Reverse<(Timestamp, Timestamp)>> = BinaryHeap::new();
    let mut arrival = Timestamp::ZERO;
    while arrival <= end {
        while let Some(Reverse((done, arrived_at))) = running.peek().copied() {
            if done > arrival {
                break;
            }
            running.pop();
            let elapsed = done.since(arrived_at);
            if elapsed <= deadline {
                tally.record_answer(elapsed);
            } else {
                tally.wasted += 1;
                tally.unknown += 1;
                tally.record_refusal(deadline);
            }
            if let Some(next) = queue.pop_front() {
                tally.attempts += 1;
                running.push(Reverse((done + exponential(service_s), next)));
            }
        }
        tally.requests += 1;
        if running.len() < load.policy.slots as usize {
            tally.attempts += 1;
            running.push(Reverse((arrival + exponential(service_s), arrival)));
        } else {
            queue.push_back(arrival);
        }
        arrival = arrival + exponential(gap_s);
    }
    tally
}
