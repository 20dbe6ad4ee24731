use super::{BackendJournal, ChangeKind, Evidence};

/// Time between two samples, in microseconds.
const SAMPLE_INTERVAL_US: u64 = 100_000;
/// Time after a backend server joins, or recovers from a fault, in which it is not sampled, in
/// microseconds.
const SETTLING_PERIOD_US: u64 = 6_000_000;
/// Time after the load begins in which no samples are taken, in microseconds.
const WARM_UP_PERIOD_US: u64 = 1_000_000;

/// Returns the coefficient of variation of in-flight requests over the ready backend servers of the
/// service under test, as the mean over all samples.
pub(super) fn coefficient_of_variation(evidence: &Evidence) -> f64 {
    let mut sum = 0.0;
    let mut samples = 0_u32;
    let mut at = evidence.started_us + WARM_UP_PERIOD_US;
    while at < evidence.ended_us {
        if let Some(variation) = sample(evidence, at) {
            sum += variation;
            samples += 1;
        }
        at += SAMPLE_INTERVAL_US;
    }
    if samples == 0 {
        0.0
    } else {
        sum / f64::from(samples)
    }
}

/// Returns the coefficient of variation at time `at`, or `None` if fewer than two backend servers
/// are ready or no request is in flight.
fn sample(evidence: &Evidence, at: u64) -> Option<f64> {
    let in_flight: Vec<f64> = evidence
        .backends
        .iter()
        .filter(|journal| journal.service == evidence.service)
        .filter(|journal| is_ready(evidence, &journal.name, at))
        .map(|journal| f64::from(in_flight(journal, at)))
        .collect();
    if in_flight.len() < 2 {
        return None;
    }
    let count = f64::from(u32::try_from(in_flight.len()).ok()?);
    let mean = in_flight.iter().sum::<f64>() / count;
    if mean <= 0.0 {
        return None;
    }
    let squares: f64 = in_flight.iter().map(|it| (it - mean).powi(2)).sum();
    Some((squares / count).sqrt() / mean)
}

/// Returns the number of requests in flight at the backend server at time `at`.
fn in_flight(journal: &BackendJournal, at: u64) -> u32 {
    let is_in_flight = |run: &&crate::backend::RunRecord| {
        run.arrived_us <= at && run.ended_us.is_none_or(|end| end > at)
    };
    u32::try_from(journal.runs.iter().filter(is_in_flight).count()).unwrap_or(u32::MAX)
}

/// Returns whether the backend server called `name` should carry the same load as the others at
/// time `at`.
fn is_ready(evidence: &Evidence, name: &str, at: u64) -> bool {
    let mut ready = true;
    let changes = evidence.changes.iter().filter(|it| it.is_on_agent(name));
    for change in changes.filter(|it| it.at_us <= at) {
        let settled = at >= change.at_us + SETTLING_PERIOD_US;
        let recovered = change
            .until_us
            .is_some_and(|until| at >= until + SETTLING_PERIOD_US);
        ready = match change.kind {
            ChangeKind::Start | ChangeKind::Undrain => settled,
            ChangeKind::Stop | ChangeKind::Drain | ChangeKind::Kill => false,
            _ => ready && recovered,
        };
    }
    ready
}
