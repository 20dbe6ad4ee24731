use super::{Evidence, blame::Blame};
use crate::caller::{AttemptEnd, FlowEnd, Told};

/// What became of flows and of requests in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct FlowCounts {
    pub(super) broken_planned: u64,
    pub(super) broken_unplanned: u64,
    pub(super) not_opened: u64,
    pub(super) cut_by_stop: u64,
    pub(super) unexplained: u64,
}

pub(super) fn count(evidence: &Evidence) -> FlowCounts {
    let blame = Blame::new(evidence);
    let mut counts = FlowCounts::default();
    for flow in &evidence.callers.flows {
        match flow.end {
            FlowEnd::Broken if blame.explains_flow(flow) => counts.broken_unplanned += 1,
            FlowEnd::Broken => counts.broken_planned += 1,
            FlowEnd::NeverOpened => counts.not_opened += 1,
            FlowEnd::Open | FlowEnd::Graceful => {}
        }
    }
    for attempt in &evidence.callers.attempts {
        let cut = matches!(attempt.end, AttemptEnd::Cut | AttemptEnd::TimedOut);
        let unclean = cut || attempt.told == Some(Told::Unknown);
        if !unclean || blame.explains_attempt(attempt) {
            continue;
        }
        if blame.planned_before(attempt.end_us) {
            counts.cut_by_stop += 1;
        } else {
            counts.unexplained += 1;
        }
    }
    counts
}
