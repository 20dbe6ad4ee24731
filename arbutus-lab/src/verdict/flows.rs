use std::collections::BTreeSet;

use super::{Evidence, failure_attribution::FailureAttribution};
use crate::caller::{AttemptEnd, AttemptRecord, FlowEnd, RequestOutcome};

/// HTTP status of an answer for a request whose deadline has passed.
const DEADLINE_STATUS: u16 = 504;

/// Counts of flows and requests that failed, by cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct FlowCounts {
    pub(super) broken_planned: u64,
    pub(super) broken_unplanned: u64,
    pub(super) not_opened: u64,
    pub(super) cut_by_stop: u64,
    pub(super) unexplained: u64,
}

/// Counts the flows and requests that failed, by cause.
pub(super) fn count(evidence: &Evidence) -> FlowCounts {
    let attribution = FailureAttribution::new(evidence);
    let mut counts = FlowCounts::default();
    for flow in &evidence.callers.flows {
        match flow.end {
            FlowEnd::Broken if attribution.explains_flow(flow) => counts.broken_unplanned += 1,
            FlowEnd::Broken => counts.broken_planned += 1,
            FlowEnd::NeverOpened => counts.not_opened += 1,
            FlowEnd::Open | FlowEnd::Graceful => {}
        }
    }
    let failed: Vec<_> = evidence
        .callers
        .attempts
        .iter()
        .filter(|it| has_no_clean_end(it))
        .collect();
    // An unplanned event cost these requests time, so a later attempt may miss the deadline at
    // another backend server.
    let delayed: BTreeSet<&str> = failed
        .iter()
        .filter(|it| attribution.explains_attempt(it))
        .map(|it| &*it.request)
        .collect();
    for attempt in failed {
        let late = missed_deadline(attempt) && delayed.contains(&*attempt.request);
        if late || attribution.explains_attempt(attempt) {
            continue;
        }
        if attribution.has_planned_node_change_before(attempt.end_us) {
            counts.cut_by_stop += 1;
        } else {
            counts.unexplained += 1;
        }
    }
    counts
}

/// Returns whether the attempt was cut off, timed out or has an unknown outcome.
fn has_no_clean_end(attempt: &AttemptRecord) -> bool {
    let cut = matches!(attempt.end, AttemptEnd::Cut | AttemptEnd::TimedOut);
    cut || attempt.reported_outcome == Some(RequestOutcome::Unknown)
}

/// Returns whether the attempt ended because its deadline had passed.
fn missed_deadline(attempt: &AttemptRecord) -> bool {
    attempt.end == AttemptEnd::TimedOut || attempt.status == Some(DEADLINE_STATUS)
}
