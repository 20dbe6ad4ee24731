use hdrhistogram::Histogram;
use serde::Serialize;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Latency over one path, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Latency {
    /// Number of complete and correct answers.
    pub answers: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

impl Latency {
    /// Creates an empty histogram of microseconds, up to a minute.
    ///
    /// # Panics
    ///
    /// Does not panic, because the bounds are valid.
    #[must_use]
    pub fn histogram() -> Histogram<u64> {
        const MAX_MICROS: u64 = 60_000_000;
        const SIGNIFICANT_DIGITS: u8 = 3;
        Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS).expect("the bounds are valid")
    }

    /// Computes the figures from a histogram of microseconds.
    #[must_use]
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let millis = |quantile| {
            let micros = histogram.value_at_quantile(quantile);
            f64::from(u32::try_from(micros).unwrap_or(u32::MAX)) / MICROS_PER_MILLI
        };
        Self {
            answers: histogram.len(),
            p50_ms: millis(0.5),
            p99_ms: millis(0.99),
        }
    }
}

/// Latencies over both paths, measured under the same load one after the other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Comparison {
    /// Latency through fabric, balancer and agent.
    pub whole_path: Latency,
    /// Latency of direct requests to the backend servers.
    pub direct: Latency,
    /// Median through the load balancer divided by the median of direct requests.
    pub p50_ratio: f64,
    /// Same ratio of the 99th percentiles.
    pub p99_ratio: f64,
}

impl Comparison {
    /// Compares the latencies over the two paths.
    #[must_use]
    pub fn new(whole_path: Latency, direct: Latency) -> Self {
        Self {
            whole_path,
            direct,
            p50_ratio: whole_path.p50_ms / direct.p50_ms,
            p99_ratio: whole_path.p99_ms / direct.p99_ms,
        }
    }
}
