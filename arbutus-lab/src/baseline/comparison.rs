use hdrhistogram::Histogram;
use serde::Serialize;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Latency of one way, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Latency {
    /// Whole and right answers.
    pub answers: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

impl Latency {
    /// An empty histogram of microseconds, up to a minute.
    ///
    /// # Panics
    ///
    /// Never: the bounds are valid.
    #[must_use]
    pub fn histogram() -> Histogram<u64> {
        const MOST_MICROS: u64 = 60_000_000;
        const DIGITS: u8 = 3;
        Histogram::new_with_bounds(1, MOST_MICROS, DIGITS).expect("the bounds are valid")
    }

    /// Reads the figures out of a histogram of microseconds.
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

/// Both ways under the same load, one after the other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Comparison {
    /// Through fabric, balancer and agent.
    pub whole_path: Latency,
    /// To the backend servers' own addresses.
    pub direct: Latency,
    /// The whole path's median over the direct one's.
    pub p50_ratio: f64,
    /// The same of the 99th percentiles.
    pub p99_ratio: f64,
}

impl Comparison {
    /// Compares the two ways.
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
