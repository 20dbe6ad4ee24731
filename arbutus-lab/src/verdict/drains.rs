use std::{collections::BTreeMap, sync::Arc};

use super::{Change, ChangeKind, Evidence, Target};

/// Returns the longest time after a stop or drain at which a backend server started new work, in
/// seconds.
///
/// New work is a request that its caller sent after the stop or drain.
pub(super) fn new_work_after_drain_s(evidence: &Evidence) -> f64 {
    let sent_us: BTreeMap<&str, u64> = evidence
        .callers
        .attempts
        .iter()
        .map(|attempt| (&*attempt.id, attempt.start_us))
        .collect();
    let leaving = evidence.changes.iter().filter(|it| it.kind.is_leaving());
    let latest = leaving
        .filter_map(|change| match &change.target {
            Target::Agent(name) => latest_new_work_us(evidence, &sent_us, change, name),
            Target::Balancer(_) | Target::Links | Target::Store => None,
        })
        .max();
    latest.map_or(0.0, seconds)
}

/// Returns the longest time after `change` at which the backend server `name` started work that was
/// sent after `change`, in microseconds.
///
/// Work is counted until the backend server is started or undrained again.
fn latest_new_work_us(
    evidence: &Evidence,
    sent_us: &BTreeMap<&str, u64>,
    change: &Change,
    name: &Arc<str>,
) -> Option<u64> {
    let left_us = change.at_us;
    let returned_us = evidence
        .changes
        .iter()
        .filter(|it| matches!(it.kind, ChangeKind::Start | ChangeKind::Undrain))
        .filter(|it| it.is_on_agent(name) && it.at_us > left_us)
        .map(|it| it.at_us)
        .min()
        .unwrap_or(u64::MAX);
    let journals = evidence.backends.iter().filter(|it| it.name == *name);
    journals
        .flat_map(|journal| &journal.runs)
        .filter_map(|run| {
            let started = run
                .started_us
                .filter(|at| (left_us..returned_us).contains(at))?;
            let sent = sent_us
                .get(&*run.request)
                .copied()
                .unwrap_or(run.arrived_us);
            (sent > left_us).then_some(started - left_us)
        })
        .max()
}

#[expect(clippy::cast_precision_loss, reason = "durations of hours are exact")]
fn seconds(micros: u64) -> f64 {
    micros as f64 / 1e6
}
