use serde::{Deserialize, Serialize};

use super::{Evidence, LatencyMs, drains, flows, imbalance, latency, runs};
use crate::caller::RequestOutcome;

/// Time within which a stopped or drained backend server must cease to receive new work, in
/// seconds.
const NEW_WORK_AFTER_DRAIN_LIMIT_S: f64 = 5.0;
/// Time within which a configuration must be in force at every process, in seconds.
const CONFIG_IN_FORCE_LIMIT_S: f64 = 14.0;

/// Figures of a run.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Verdict {
    /// Requests that callers made.
    pub requests: u64,
    /// Requests that were answered with a result.
    pub answered: u64,
    /// Requests that were reported as not run.
    pub not_run: u64,
    /// Requests whose outcome remained unknown to the caller.
    pub unknown: u64,
    /// Complete answers that belong to another request or are corrupted.
    pub wrong_answers: u64,
    /// Flows that broke without an unplanned event at their backend server.
    pub broken_flows_planned: u64,
    /// Flows that broke after an unplanned event at their backend server.
    pub broken_flows_unplanned: u64,
    /// Flows that could not be opened.
    pub flows_not_opened: u64,
    /// Runs of an idempotency key beyond its first run.
    pub double_runs: u64,
    /// Requests that ran although they were reported as not run.
    pub not_run_but_ran: u64,
    /// Requests that were reported as run although no backend server ran them.
    pub ran_without_run: u64,
    /// Requests that arrived at a backend server of another service.
    pub cross_service: u64,
    /// Requests that were cut off after a planned change and that no unplanned event explains.
    pub cut_by_stop: u64,
    /// Requests without a clean end that no event explains.
    pub unexplained: u64,
    /// Longest time after a stop or drain at which a backend server started new work, in seconds.
    pub new_work_after_drain_s: f64,
    /// Coefficient of variation of in-flight requests over ready backend servers.
    pub imbalance_cv: f64,
    /// Latency of answered requests.
    pub latency_ms: LatencyMs,
    /// Highest rate of control traffic of any process, in bytes per second.
    pub control_bytes_per_s: f64,
    /// Longest time until a configuration was in force at every process, in seconds.
    pub config_in_force_s: f64,
}

/// A guarantee that was violated.
#[derive(Debug, Clone, PartialEq)]
pub struct ViolatedGuarantee {
    /// Name of the figure that shows the violation.
    pub figure: &'static str,
    /// Value of the figure.
    pub value: f64,
}

impl Verdict {
    /// Computes the verdict from the evidence of a run.
    #[must_use]
    pub fn of(evidence: &Evidence) -> Self {
        let flows = flows::count(evidence);
        let runs = runs::count(evidence);
        Self {
            requests: count(evidence, |_| true),
            answered: count(evidence, |outcome| outcome == RequestOutcome::Ran),
            not_run: count(evidence, |outcome| outcome == RequestOutcome::NotRun),
            unknown: count(evidence, |outcome| outcome == RequestOutcome::Unknown),
            wrong_answers: runs.wrong_answers,
            broken_flows_planned: flows.broken_planned,
            broken_flows_unplanned: flows.broken_unplanned,
            flows_not_opened: flows.not_opened,
            double_runs: runs.double_runs,
            not_run_but_ran: runs.not_run_but_ran,
            ran_without_run: runs.ran_without_run,
            cross_service: runs.cross_service,
            cut_by_stop: flows.cut_by_stop,
            unexplained: flows.unexplained,
            new_work_after_drain_s: drains::new_work_after_drain_s(evidence),
            imbalance_cv: imbalance::coefficient_of_variation(evidence),
            latency_ms: latency::latency(evidence),
            control_bytes_per_s: evidence.measured.highest_control_bytes_per_s(),
            config_in_force_s: evidence.measured.config_in_force_s,
        }
    }

    /// Returns the guarantees that were violated.
    #[must_use]
    pub fn violated_guarantees(&self) -> Vec<ViolatedGuarantee> {
        let zeros = [
            ("wrong_answers", self.wrong_answers),
            ("broken_flows_planned", self.broken_flows_planned),
            ("double_runs", self.double_runs),
            ("not_run_but_ran", self.not_run_but_ran),
            ("ran_without_run", self.ran_without_run),
            ("cross_service", self.cross_service),
            ("cut_by_stop", self.cut_by_stop),
            ("unexplained", self.unexplained),
        ];
        let limits = [
            (
                "new_work_after_drain_s",
                self.new_work_after_drain_s,
                NEW_WORK_AFTER_DRAIN_LIMIT_S,
            ),
            (
                "config_in_force_s",
                self.config_in_force_s,
                CONFIG_IN_FORCE_LIMIT_S,
            ),
        ];
        let over_zero = zeros
            .into_iter()
            .filter(|(_, count)| *count > 0)
            .map(|(figure, count)| ViolatedGuarantee {
                figure,
                value: f64::from(u32::try_from(count).unwrap_or(u32::MAX)),
            });
        let over_limit = limits
            .into_iter()
            .filter(|(_, value, limit)| value >= limit)
            .map(|(figure, value, _)| ViolatedGuarantee { figure, value });
        over_zero.chain(over_limit).collect()
    }
}

/// Returns the number of requests whose outcome satisfies `counts`.
fn count(evidence: &Evidence, counts: impl Fn(RequestOutcome) -> bool) -> u64 {
    let requests = evidence.callers.requests.iter();
    let matching = requests.filter(|it| counts(it.outcome));
    matching.count() as u64
}
