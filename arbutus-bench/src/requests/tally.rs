use std::time::Duration;

use hdrhistogram::Histogram;

/// Largest recorded latency in microseconds. Longer ones count as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Results that callers received in one run.
#[derive(Debug)]
pub(super) struct Tally {
    /// Requests that callers sent.
    pub(super) requests: u64,
    /// Requests with a complete response within the deadline.
    pub(super) in_time: u64,
    /// Requests that were answered as not run.
    pub(super) not_run: u64,
    /// Requests with an unknown outcome.
    pub(super) unknown: u64,
    /// Attempts sent to backend servers.
    pub(super) attempts: u64,
    /// Attempts whose result reached no caller.
    pub(super) wasted: u64,
    /// Time to a complete response, in microseconds.
    answered: Histogram<u64>,
    /// Time to a refusal or an unknown outcome, in microseconds.
    refused: Histogram<u64>,
}

impl Tally {
    pub(super) fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the histogram bounds are valid");
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

    /// Records a complete response within the deadline.
    pub(super) fn record_answer(&mut self, elapsed: Duration) {
        self.in_time += 1;
        self.answered.saturating_record(micros(elapsed));
    }

    /// Records the time to a refusal or an unknown outcome.
    pub(super) fn record_refusal(&mut self, elapsed: Duration) {
        self.refused.saturating_record(micros(elapsed));
    }

    /// Returns `part` in percent of all requests.
    pub(super) fn percent_of_requests(&self, part: u64) -> f64 {
        ratio(part, self.requests) * 100.0
    }

    /// Returns the mean number of attempts per request.
    pub(super) fn attempts_per_request(&self) -> f64 {
        ratio(self.attempts, self.requests)
    }

    /// Returns the wasted attempts in percent of all attempts.
    pub(super) fn wasted_percent(&self) -> f64 {
        ratio(self.wasted, self.attempts) * 100.0
    }

    /// Returns a quantile of the time to a complete response, in milliseconds.
    pub(super) fn answered_ms(&self, quantile: f64) -> f64 {
        millis(self.answered.value_at_quantile(quantile))
    }

    /// Returns a quantile of the time to a refusal or an unknown outcome, in milliseconds.
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
fn ratio(part: u64, total: u64) -> f64 {
    part as f64 / total.max(1) as f64
}
