use std::time::Duration;

use hdrhistogram::Histogram;

const MAX_LATENCY_US: u64 = 3_600_000_000;

/// What callers saw in one run.
#[derive(Debug)]
pub(super) struct Tally {
    pub(super) requests: u64,
    /// Whole responses within the deadline.
    pub(super) in_time: u64,
    pub(super) not_run: u64,
    pub(super) unknown: u64,
    /// Requests put to backend servers.
    pub(super) attempts: u64,
    /// Attempts whose work was of no use to a caller.
    pub(super) wasted: u64,
    /// Time to a whole response, in microseconds.
    answered: Histogram<u64>,
    /// Time to a refusal or an unknown outcome, in microseconds.
    refused: Histogram<u64>,
}

impl Tally {
    pub(super) fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the library takes these bounds");
        Self {
            requests: 0,
            in_time: 0,
            not_run: 0,
            unknown: 0,
            attempts: 0,
            wasted: 0,
            answered: histogram(),
            refused: histogram(),
        }
    }

    pub(super) fn record_answer(&mut self, elapsed: Duration) {
        self.in_time += 1;
        self.answered.saturating_record(micros(elapsed));
    }

    pub(super) fn record_refusal(&mut self, elapsed: Duration) {
        self.refused.saturating_record(micros(elapsed));
    }

    pub(super) fn percent_of_requests(&self, part: u64) -> f64 {
        ratio(part, self.requests) * 100.0
    }

    pub(super) fn attempts_per_request(&self) -> f64 {
        ratio(self.attempts, self.requests)
    }

    pub(super) fn wasted_percent(&self) -> f64 {
        ratio(self.wasted, self.attempts) * 100.0
    }

    pub(super) fn answered_ms(&self, quantile: f64) -> f64 {
        millis(self.answered.value_at_quantile(quantile))
    }

    pub(super) fn refused_ms(&self, quantile: f64) -> f64 {
        millis(self.refused.value_at_quantile(quantile))
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn millis(micros: u64) -> f64 {
    ratio(micros, 1_000)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^52"
)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
