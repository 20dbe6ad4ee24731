use std::collections::{BTreeMap, BTreeSet};

use super::Evidence;
use crate::caller::{AttemptEnd, RequestOutcome};

/// Counts of answers to callers that contradict the runs at the backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct RunCounts {
    pub(super) wrong_answers: u64,
    pub(super) double_runs: u64,
    pub(super) not_run_but_ran: u64,
    pub(super) ran_without_run: u64,
    pub(super) cross_service: u64,
}

/// Compares the answers that callers received with the runs at the backend servers.
pub(super) fn count(evidence: &Evidence) -> RunCounts {
    let mut counts = RunCounts::default();
    let mut started: BTreeSet<&str> = BTreeSet::new();
    let mut starts_by_key: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for journal in &evidence.backends {
        for run in &journal.runs {
            let foreign = !run.target_service.is_empty() && run.target_service != journal.service;
            counts.cross_service += u64::from(foreign);
            if run.started_us.is_none() {
                continue;
            }
            started.insert(&run.request);
            if let Some(key) = &run.key {
                *starts_by_key.entry((&journal.service, key)).or_default() += 1;
            }
        }
    }
    counts.double_runs = starts_by_key.values().map(|starts| starts - 1).sum();
    for attempt in &evidence.callers.attempts {
        let key_ran = attempt
            .key
            .as_ref()
            .is_some_and(|key| starts_by_key.contains_key(&(&*attempt.service, &**key)));
        let ran = started.contains(&*attempt.id);
        counts.wrong_answers += u64::from(attempt.end == AttemptEnd::Wrong);
        counts.not_run_but_ran +=
            u64::from(attempt.reported_outcome == Some(RequestOutcome::NotRun) && ran);
        let reported_ran =
            attempt.reported_outcome == Some(RequestOutcome::Ran) && attempt.status == Some(200);
        counts.ran_without_run += u64::from(reported_ran && !ran && !key_ran);
    }
    counts
}
