use std::sync::Arc;

use crate::{caller::RequestOutcome, experiment::Outcome, verdict::BackendJournal};

/// Time between two samples of in-flight requests, in microseconds.
const SAMPLE_INTERVAL_US: u64 = 100_000;
/// Length of the windows over which latencies and outcomes are aggregated, in microseconds.
const WINDOW_US: u64 = 250_000;
const MEDIAN: f64 = 0.5;
const P99: f64 = 0.99;

/// Named line over time.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Name of the line.
    pub name: Arc<str>,
    /// Points ordered by time: seconds since the load began, and a value.
    pub points: Vec<(f64, f64)>,
}

/// Lines that share one plot.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// Title of the plot.
    pub title: &'static str,
    /// Lines of the plot.
    pub lines: Vec<Line>,
}

impl Series {
    /// Returns all plots of a run.
    #[must_use]
    pub fn of(outcome: &Outcome) -> Vec<Self> {
        vec![in_flight(outcome), latency(outcome), outcomes(outcome)]
    }

    /// Returns the highest value of all lines.
    #[must_use]
    pub fn highest(&self) -> f64 {
        let points = self.lines.iter().flat_map(|line| &line.points);
        points.map(|(_, value)| *value).fold(0.0, f64::max)
    }
}

/// Returns the requests in flight at each backend server of the service under test.
fn in_flight(outcome: &Outcome) -> Series {
    let evidence = &outcome.evidence;
    let tested = evidence.backends.iter();
    let tested = tested.filter(|journal| journal.service == evidence.service);
    let lines = tested.map(|journal| Line {
        name: Arc::clone(&journal.name),
        points: sample_times(outcome, SAMPLE_INTERVAL_US)
            .map(|at| (seconds(at - evidence.started_us), in_flight_at(journal, at)))
            .collect(),
    });
    Series {
        title: "In-flight requests at each backend server",
        lines: lines.collect(),
    }
}

/// Returns the median and the 99th percentile of the latency of answered requests.
fn latency(outcome: &Outcome) -> Series {
    let evidence = &outcome.evidence;
    let mut median = Vec::new();
    let mut p99 = Vec::new();
    for at in sample_times(outcome, WINDOW_US) {
        let due = at..at + WINDOW_US;
        let answered = evidence.callers.requests.iter();
        let mut latencies: Vec<u64> = answered
            .filter(|it| it.outcome == RequestOutcome::Ran && due.contains(&it.due_us))
            .map(|it| it.end_us.saturating_sub(it.due_us))
            .collect();
        latencies.sort_unstable();
        let since = seconds(at - evidence.started_us);
        if let Some(last) = latencies.len().checked_sub(1) {
            median.push((since, seconds(latencies[index(last, MEDIAN)]) * 1e3));
            p99.push((since, seconds(latencies[index(last, P99)]) * 1e3));
        }
    }
    Series {
        title: "Latency by due time of the request, in milliseconds",
        lines: vec![line("median", median), line("99%", p99)],
    }
}

/// Returns the rate of requests by outcome.
fn outcomes(outcome: &Outcome) -> Series {
    let named_outcomes = [
        ("answered", RequestOutcome::Ran),
        ("not run", RequestOutcome::NotRun),
        ("unknown", RequestOutcome::Unknown),
    ];
    let lines = named_outcomes.map(|(name, request_outcome)| {
        let points = sample_times(outcome, WINDOW_US).map(|at| {
            let due = at..at + WINDOW_US;
            let requests = outcome.evidence.callers.requests.iter();
            let matching =
                requests.filter(|it| it.outcome == request_outcome && due.contains(&it.due_us));
            let since = seconds(at - outcome.evidence.started_us);
            (
                since,
                count_to_f64(matching.count()) * 1e6 / micros_to_f64(WINDOW_US),
            )
        });
        line(name, points.collect())
    });
    Series {
        title: "Requests per second by outcome",
        lines: lines.into(),
    }
}

/// Returns the times during the load, every `step_us` microseconds.
fn sample_times(outcome: &Outcome, step_us: u64) -> impl Iterator<Item = u64> {
    let span = outcome.evidence.started_us..outcome.evidence.ended_us;
    span.step_by(usize::try_from(step_us).unwrap_or(usize::MAX))
}

/// Returns the number of requests in flight at the backend server at time `at`.
fn in_flight_at(journal: &BackendJournal, at: u64) -> f64 {
    let in_flight = journal
        .runs
        .iter()
        .filter(|run| run.arrived_us <= at && run.ended_us.is_none_or(|end| end > at));
    count_to_f64(in_flight.count())
}

fn line(name: &str, points: Vec<(f64, f64)>) -> Line {
    Line {
        name: Arc::from(name),
        points,
    }
}

/// Returns the index of a quantile in a sorted list whose last index is `last`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a fraction of an index is a valid index"
)]
fn index(last: usize, quantile: f64) -> usize {
    (count_to_f64(last) * quantile) as usize
}

#[expect(clippy::cast_precision_loss, reason = "counts of a run are exact")]
const fn count_to_f64(count: usize) -> f64 {
    count as f64
}

#[expect(clippy::cast_precision_loss, reason = "durations of hours are exact")]
const fn micros_to_f64(micros: u64) -> f64 {
    micros as f64
}

fn seconds(micros: u64) -> f64 {
    micros_to_f64(micros) / 1e6
}
