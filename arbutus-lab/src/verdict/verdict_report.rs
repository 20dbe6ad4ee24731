use serde::{Deserialize, Serialize};

use super::{Evidence, LatencyMs, drains, flows, imbalance, latency, runs};
use crate::caller::Told;

/// After this long a leaving backend server gets no new work, in seconds.
const NEW_WORK_AFTER_DRAIN_LIMIT_S: f64 = 5.0;
/// After this long a configuration is in force everywhere, in seconds.
const CONFIG_IN_FORCE_LIMIT_S: f64 = 14.0;

/// What a run showed.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Verdict {
    /// Requests that callers made.
    pub requests: u64,
    /// Requests that were answered with a result.
    pub answered: u64,
    /// Requests whose caller knows that they did not run.
    pub not_run: u64,
    /// Requests whose caller does not know whether they ran.
    pub unknown: u64,
    /// Whole answers that belong to another request or are damaged.
    pub wrong_answers: u64,
    /// Flows that broke without an unplanned event at their backend server.
    pub broken_flows_planned: u64,
    /// Flows that broke after an unplanned event at their backend server.
    pub broken_flows_unplanned: u64,
    /// Flows that could not be opened.
    pub flows_not_opened: u64,
    /// Runs of a key beyond its first.
    pub double_runs: u64,
    /// Requests told not to have run that did.
    pub not_run_but_ran: u64,
    /// Requests told to have run that no backend server saw.
    pub ran_without_run: u64,
    /// Requests that came to a backend server of another service.
    pub cross_service: u64,
    /// Requests cut after a planned change, without an unplanned event to explain it.
    pub cut_by_stop: u64,
    /// Requests without a clean end that no event explains.
    pub unexplained: u64,
    /// Longest time after a backend server began to leave at which it got new work, in seconds.
    pub new_work_after_drain_s: f64,
    /// Coefficient of variation of requests in hand over ready backend servers.
    pub imbalance_cv: f64,
    /// Latency of answered requests.
    pub latency_ms: LatencyMs,
    /// Control bytes each second, of the process with the most.
    pub control_bytes_per_s: f64,
    /// Longest time until a configuration was in force everywhere, in seconds.
    pub config_in_force_s: f64,
}

/// A promise that did not hold, and by how much.
#[derive(Debug, Clone, PartialEq)]
pub struct ViolatedGuarantee {
    /// The figure that shows it.
    pub figure: &'static str,
    /// Its value.
    pub value: f64,
}

impl Verdict {
    /// Judges the evidence of a run.
    #[must_use]
    pub fn of(evidence: &Evidence) -> Self {
        let flows = flows::count(evidence);
        let runs = runs::count(evidence);
        Self {
            requests: count(evidence, |_| true),
            answered: count(evidence, |told| told == Told::Ran),
            not_run: count(evidence, |told| told == Told::NotRun),
            unknown: count(evidence, |told| told == Told::Unknown),
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

    /// The promises that did not hold.
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

fn count(evidence: &Evidence, counts: impl Fn(Told) -> bool) -> u64 {
    let requests = evidence.callers.requests.iter();
    let matching = requests.filter(|it| counts(it.outcome));
    matching.count() as u64
}
