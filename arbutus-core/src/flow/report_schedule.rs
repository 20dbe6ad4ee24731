use std::time::Duration;

use super::FlowPolicy;
use crate::time::Timestamp;

/// When the next load report is due: soon after a change, within a rate, and at least now and
/// then.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportSchedule {
    changed: bool,
    last: Option<Timestamp>,
    /// The time up to which the rate is used.
    used_until: Timestamp,
}

impl ReportSchedule {
    pub(super) const fn new() -> Self {
        Self {
            changed: true,
            last: None,
            used_until: Timestamp::ZERO,
        }
    }

    pub(super) const fn note_change(&mut self) {
        self.changed = true;
    }

    pub(super) fn next(&self, policy: &FlowPolicy) -> Timestamp {
        let Some(last) = self.last else {
            return Timestamp::ZERO;
        };
        let regular = last + Duration::from_millis(policy.report_interval_ms);
        if !self.changed {
            return regular;
        }
        regular.min(self.allowed_at(policy))
    }

    pub(super) fn is_due(&self, policy: &FlowPolicy, now: Timestamp) -> bool {
        self.next(policy) <= now
    }

    pub(super) fn note_sent(&mut self, policy: &FlowPolicy, now: Timestamp) {
        self.changed = false;
        self.last = Some(now);
        self.used_until = self.used_until.max(now) + period(policy);
    }

    fn allowed_at(&self, policy: &FlowPolicy) -> Timestamp {
        let ahead = period(policy) * policy.report_burst.saturating_sub(1);
        Timestamp::ZERO + self.used_until.since(Timestamp::ZERO + ahead)
    }
}

const fn period(policy: &FlowPolicy) -> Duration {
    Duration::from_micros(1_000_000 / max_one(policy.reports_per_s) as u64)
}

const fn max_one(rate: u32) -> u32 {
    if rate == 0 { 1 } else { rate }
}
