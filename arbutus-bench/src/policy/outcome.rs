use hdrhistogram::Histogram;
use serde::Serialize;

/// Largest recorded latency in microseconds. Longer ones count as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Figures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Flows whose agent crashed before they ended.
    pub broken_flows: u64,
    /// Coefficient of variation of the in-flight requests per agent, as a mean over all samples.
    pub imbalance_cv: f64,
    /// Median latency of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency, in milliseconds.
    pub p999_ms: f64,
    /// Shed requests and flows, in percent of those offered.
    pub shed_percent: f64,
    /// Mean number of hops between agents until a new flow was admitted.
    pub agent_hops: f64,
    /// Requests passed on to another agent than that of their flow, in percent of all requests.
    pub spread_percent: f64,
    /// Load reports and credits sent by the agent that sent most, in bytes per second without
    /// headers.
    pub report_bytes_per_s: f64,
    /// Flows admitted by an agent after its drain started.
    pub admitted_after_drain: u64,
    /// Invariant violations that the agents counted.
    pub invariant_violations: u64,
    /// Flows that callers opened.
    pub flows: u64,
}

/// Running totals of one run.
#[derive(Debug)]
pub(super) struct Meter {
    latency_us: Histogram<u64>,
    cv_sum: f64,
    samples: u64,
    pub(super) flows: u64,
    pub(super) requests: u64,
    pub(super) shed: u64,
    pub(super) placed: u64,
    pub(super) hops: u64,
    pub(super) passed_on: u64,
    pub(super) broken: u64,
    pub(super) admitted_after_drain: u64,
}

impl Meter {
    pub(super) fn new() -> Self {
        Self {
            latency_us: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid"),
            cv_sum: 0.0,
            samples: 0,
            flows: 0,
            requests: 0,
            shed: 0,
            placed: 0,
            hops: 0,
            passed_on: 0,
            broken: 0,
            admitted_after_drain: 0,
        }
    }

    /// Records the latency of an answered request.
    pub(super) fn record_latency(&mut self, micros: u64) {
        self.latency_us.saturating_record(micros);
    }

    /// Adds a sample of the in-flight requests of all agents.
    ///
    /// A sample without any request is ignored, since its coefficient of variation is undefined.
    pub(super) fn sample(&mut self, in_flight: impl Iterator<Item = u32> + Clone) {
        let count = f64::from(u32::try_from(in_flight.clone().count()).unwrap_or(u32::MAX));
        let mean = in_flight.clone().map(f64::from).sum::<f64>() / count;
        if mean > 0.0 {
            let squares = in_flight
                .map(|it| (f64::from(it) - mean).powi(2))
                .sum::<f64>();
            self.cv_sum += (squares / count).sqrt() / mean;
            self.samples += 1;
        }
    }

    /// Computes the figures of the run.
    pub(super) fn finish(&self, report_bytes_per_s: f64, invariant_violations: u64) -> Outcome {
        let quantile = |q| ratio(self.latency_us.value_at_quantile(q), 1_000);
        Outcome {
            broken_flows: self.broken,
            imbalance_cv: self.cv_sum / ratio(self.samples.max(1), 1),
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            shed_percent: 100.0 * ratio(self.shed, self.requests),
            agent_hops: ratio(self.hops, self.placed),
            spread_percent: 100.0 * ratio(self.passed_on, self.requests),
            report_bytes_per_s,
            admitted_after_drain: self.admitted_after_drain,
            invariant_violations,
            flows: self.flows,
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of one run are small")]
pub(super) fn ratio(part: u64, total: u64) -> f64 {
    part as f64 / total.max(1) as f64
}
