use std::sync::Arc;

use crate::{caller::Told, experiment::Outcome, verdict::BackendJournal};

const SAMPLE_US: u64 = 100_000;
const WINDOW_US: u64 = 250_000;
const MEDIAN: f64 = 0.5;
const P99: f64 = 0.99;

/// One named line over time; points are seconds since the load began and a value.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Its name.
    pub name: Arc<str>,
    /// Its points in the order of time.
    pub points: Vec<(f64, f64)>,
}

/// Lines that share one plot.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// What the plot shows.
    pub title: &'static str,
    /// Its lines.
    pub lines: Vec<Line>,
}

impl Series {
    /// All plots of a run.
    #[must_use]
    pub fn of(outcome: &Outcome) -> Vec<Self> {
        vec![in_hand(outcome), latency(outcome), outcomes(outcome)]
    }

    /// The highest value of all lines.
    #[must_use]
    pub fn highest(&self) -> f64 {
        let points = self.lines.iter().flat_map(|line| &line.points);
        points.map(|(_, value)| *value).fold(0.0, f64::max)
    }
}

fn in_hand(outcome: &Outcome) -> Series {
    let evidence = &outcome.evidence;
    let tested = evidence.backends.iter();
    let tested = tested.filter(|journal| journal.service == evidence.service);
    let lines = tested.map(|journal| Line {
        name: Arc::clone(&journal.name),
        points: sample_times(outcome, SAMPLE_US)
            .map(|at| (seconds(at - evidence.started_us), in_flight_at(journal, at)))
            .collect(),
    });
    Series {
        title: "Requests in hand at each backend server",
        lines: lines.collect(),
    }
}

fn latency(outcome: &Outcome) -> Series {
    let evidence = &outcome.evidence;
    let mut median = Vec::new();
    let mut slowest = Vec::new();
    for at in sample_times(outcome, WINDOW_US) {
        let due = at..at + WINDOW_US;
        let answered = evidence.callers.requests.iter();
        let mut spans: Vec<u64> = answered
            .filter(|it| it.outcome == Told::Ran && due.contains(&it.due_us))
            .map(|it| it.end_us.saturating_sub(it.due_us))
            .collect();
        spans.sort_unstable();
        let since = seconds(at - evidence.started_us);
        if let Some(last) = spans.len().checked_sub(1) {
            median.push((since, seconds(spans[index(last, MEDIAN)]) * 1e3));
            slowest.push((since, seconds(spans[index(last, P99)]) * 1e3));
        }
    }
    Series {
        title: "Latency by when a request was due, in milliseconds",
        lines: vec![line("median", median), line("99%", slowest)],
    }
}

fn outcomes(outcome: &Outcome) -> Series {
    let named = [
        ("answered", Told::Ran),
        ("not run", Told::NotRun),
        ("unknown", Told::Unknown),
    ];
    let lines = named.map(|(name, told)| {
        let points = sample_times(outcome, WINDOW_US).map(|at| {
            let due = at..at + WINDOW_US;
            let requests = outcome.evidence.callers.requests.iter();
            let matching = requests.filter(|it| it.outcome == told && due.contains(&it.due_us));
            let since = seconds(at - outcome.evidence.started_us);
            (since, number(matching.count()) * 1e6 / number_of(WINDOW_US))
        });
        line(name, points.collect())
    });
    Series {
        title: "Requests each second by outcome",
        lines: lines.into(),
    }
}

fn sample_times(outcome: &Outcome, step_us: u64) -> impl Iterator<Item = u64> {
    let span = outcome.evidence.started_us..outcome.evidence.ended_us;
    span.step_by(usize::try_from(step_us).unwrap_or(usize::MAX))
}

fn in_flight_at(journal: &BackendJournal, at: u64) -> f64 {
    let held = journal
        .runs
        .iter()
        .filter(|run| run.arrived_us <= at && run.ended_us.is_none_or(|end| end > at));
    number(held.count())
}

fn line(name: &str, points: Vec<(f64, f64)>) -> Line {
    Line {
        name: Arc::from(name),
        points,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of an index is an index"
)]
fn index(last: usize, share: f64) -> usize {
    (number(last) * share) as usize
}

#[expect(clippy::cast_precision_loss, reason = "counts of a run are exact")]
const fn number(count: usize) -> f64 {
    count as f64
}

#[expect(clippy::cast_precision_loss, reason = "spans of hours are exact")]
const fn number_of(micros: u64) -> f64 {
    micros as f64
}

fn seconds(micros: u64) -> f64 {
    number_of(micros) / 1e6
}
