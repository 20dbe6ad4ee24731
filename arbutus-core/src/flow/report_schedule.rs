use std::time::Duration;

use super::FlowPolicy;
use crate::time::Timestamp;

/// The schedule of load reports.
///
/// A report is due after a change of load, within the rate limit, and otherwise at a regular
/// interval.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportSchedule {
    /// Whether the load has changed since the last report.
    changed: bool,
    last_sent: Option<Timestamp>,
    /// Time up to which the reports sent so far use up the permitted rate (the theoretical arrival
    /// time of the generic cell rate algorithm).
    rate_used_until: Timestamp,
}

impl ReportSchedule {
    pub(super) const fn new() -> Self {
        Self {
            changed: true,
            last_sent: None,
            rate_used_until: Timestamp::ZERO,
        }
    }

    pub(super) const fn record_change(&mut self) {
        self.changed = true;
    }

    /// Returns the time at which the next report is due.
    pub(super) fn next_due(&self, policy: &FlowPolicy) -> Timestamp {
        let Some(last_sent) = self.last_sent else {
            return Timestamp::ZERO;
        };
        let regular = last_sent + Duration::from_millis(policy.report_interval_ms);
        if !self.changed {
            return regular;
        }
        regular.min(self.allowed_at(policy))
    }

    pub(super) fn is_due(&self, policy: &FlowPolicy, now: Timestamp) -> bool {
        self.next_due(policy) <= now
    }

    pub(super) fn record_sent(&mut self, policy: &FlowPolicy, now: Timestamp) {
        self.changed = false;
        self.last_sent = Some(now);
        self.rate_used_until = self.rate_used_until.max(now) + min_interval(policy);
    }

    /// Returns the time from which the rate limit permits a report.
    fn allowed_at(&self, policy: &FlowPolicy) -> Timestamp {
        let ahead = min_interval(policy) * policy.report_burst.saturating_sub(1);
        Timestamp::ZERO + self.rate_used_until.since(Timestamp::ZERO + ahead)
    }
}

/// Returns the average interval between reports that the rate limit permits.
const fn min_interval(policy: &FlowPolicy) -> Duration {
    Duration::from_micros(1_000_000 / at_least_one(policy.max_reports_per_s) as u64)
}

const fn at_least_one(rate: u32) -> u32 {
    if rate == 0 { 1 } else { rate }
}
