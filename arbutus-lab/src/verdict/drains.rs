use std::{collections::BTreeMap, sync::Arc};

use super::{Change, ChangeKind, Evidence, Target};

/// The longest time after a backend server began to leave at which it got new work, in seconds.
pub(super) fn new_work_after_drain_s(evidence: &Evidence) -> f64 {
    let sent: BTreeMap<&str, u64> = evidence
        .callers
        .attempts
        .iter()
        .map(|attempt| (&*attempt.id, attempt.start_us))
        .collect();
    let leaving = evidence.changes.iter().filter(|it| it.kind.is_leaving());
    let latest = leaving
        .filter_map(|change| match &change.target {
            Target::Agent(name) => latest_new_work_us(evidence, &sent, change, name),
            Target::Balancer(_) | Target::Links | Target::Store => None,
        })
        .max();
    latest.map_or(0.0, seconds)
}

/// How long after `change` the agent called `name` got work that was sent after it.
fn latest_new_work_us(
    evidence: &Evidence,
    sent: &BTreeMap<&str, u64>,
    change: &Change,
    name: &Arc<str>,
) -> Option<u64> {
    let left = change.at_us;
    let back = evidence
        .changes
        .iter()
        .filter(|it| matches!(it.kind, ChangeKind::Start | ChangeKind::Undrain))
        .filter(|it| it.is_on_agent(name) && it.at_us > left)
        .map(|it| it.at_us)
        .min()
        .unwrap_or(u64::MAX);
    let journals = evidence.backends.iter().filter(|it| it.name == *name);
    journals
        .flat_map(|journal| &journal.runs)
        .filter_map(|run| {
            let started = run.started_us.filter(|at| (left..back).contains(at))?;
            let sent = sent.get(&*run.request).copied().unwrap_or(run.arrived_us);
            (sent > left).then_some(started - left)
        })
        .max()
}

#[expect(clippy::cast_precision_loss, reason = "spans of hours are exact")]
fn seconds(micros: u64) -> f64 {
    micros as f64 / 1e6
}
