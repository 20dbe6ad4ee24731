use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::Evidence;
use crate::caller::RequestOutcome;

/// Significant decimal digits that the histogram keeps of each value.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latency of answered requests, measured from the time each was due, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct LatencyMs {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

/// Returns the latency percentiles of all answered requests.
pub(super) fn latency(evidence: &Evidence) -> LatencyMs {
    let Ok(mut histogram) = Histogram::<u64>::new(SIGNIFICANT_DIGITS) else {
        return LatencyMs::default();
    };
    let requests = evidence.callers.requests.iter();
    for request in requests.filter(|it| it.outcome == RequestOutcome::Ran) {
        // The histogram resizes itself, so recording does not fail.
        let _ = histogram.record(request.end_us.saturating_sub(request.due_us));
    }
    let quantile = |of: f64| milliseconds(histogram.value_at_quantile(of));
    LatencyMs {
        p50: quantile(0.5),
        p99: quantile(0.99),
        p999: quantile(0.999),
    }
}

#[expect(clippy::cast_precision_loss, reason = "durations of hours are exact")]
fn milliseconds(micros: u64) -> f64 {
    micros as f64 / 1e3
}
