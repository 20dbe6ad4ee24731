use hdrhistogram::Histogram;
use serde::Serialize;

/// Largest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// What one run showed.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Flows that lost their agent before they ended.
    pub broken_flows: u64,
    /// Mean over samples of the coefficient of variation of work in hand.
    pub imbalance_cv: f64,
    /// Latency of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
    /// See `p50_ms`.
    pub p999_ms: f64,
    /// Requests and flows turned away, in percent of those offered.
    pub shed_percent: f64,
    /// Mean number of times that a new flow was passed from agent to agent.
    pub agent_hops: f64,
    /// Requests that ran elsewhere than at the agent of their flow, in percent.
    pub spread_percent: f64,
    /// Load reports and credits that the busiest agent sent, in bytes each second, headers left
    /// out.
    pub report_bytes_per_s: f64,
    /// Flows admitted by an agent after its drain.
    pub admitted_after_drain: u64,
    /// What the agents' own checks counted.
    pub invariant_violations: u64,
    /// Flows that were offered.
    pub flows: u64,
}

/// Sums of one run, as it goes on.
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
    pub(super) spread: u64,
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
            spread: 0,
            broken: 0,
            admitted_after_drain: 0,
        }
    }

    pub(super) fn record_latency(&mut self, micros: u64) {
        self.latency_us.saturating_record(micros);
    }

    /// Takes one sample of work in hand; one without any work tells nothing.
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
            spread_percent: 100.0 * ratio(self.spread, self.requests),
            report_bytes_per_s,
            admitted_after_drain: self.admitted_after_drain,
            invariant_violations,
            flows: self.flows,
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of one run are small")]
pub(super) fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
