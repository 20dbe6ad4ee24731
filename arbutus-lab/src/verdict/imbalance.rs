use super::{BackendJournal, ChangeKind, Evidence};

const SAMPLE_US: u64 = 100_000;
/// Time after the load begins, or after a backend server joins, in which it is not judged.
const SETTLING_PERIOD_US: u64 = 6_000_000;
/// Time after the load begins in which nothing is sampled.
const WARM_UP_PERIOD_US: u64 = 1_000_000;

/// The coefficient of variation of requests in hand over the ready backend servers of the judged
/// service, as the mean over samples.
pub(super) fn coefficient_of_variation(evidence: &Evidence) -> f64 {
    let mut sum = 0.0;
    let mut samples = 0_u32;
    let mut at = evidence.started_us + WARM_UP_PERIOD_US;
    while at < evidence.ended_us {
        if let Some(variation) = sample(evidence, at) {
            sum += variation;
            samples += 1;
        }
        at += SAMPLE_US;
    }
    if samples == 0 {
        0.0
    } else {
        sum / f64::from(samples)
    }
}

fn sample(evidence: &Evidence, at: u64) -> Option<f64> {
    let in_hand: Vec<f64> = evidence
        .backends
        .iter()
        .filter(|journal| journal.service == evidence.service)
        .filter(|journal| is_ready(evidence, &journal.name, at))
        .map(|journal| f64::from(in_hand(journal, at)))
        .collect();
    if in_hand.len() < 2 {
        return None;
    }
    let count = f64::from(u32::try_from(in_hand.len()).ok()?);
    let mean = in_hand.iter().sum::<f64>() / count;
    if mean <= 0.0 {
        return None;
    }
    let squares: f64 = in_hand.iter().map(|it| (it - mean).powi(2)).sum();
    Some((squares / count).sqrt() / mean)
}

fn in_hand(journal: &BackendJournal, at: u64) -> u32 {
    let holds = |run: &&crate::backend::RunRecord| {
        run.arrived_us <= at && run.ended_us.is_none_or(|end| end > at)
    };
    u32::try_from(journal.runs.iter().filter(holds).count()).unwrap_or(u32::MAX)
}

/// Whether the backend server called `name` is to be loaded like the others.
fn is_ready(evidence: &Evidence, name: &str, at: u64) -> bool {
    let mut ready = true;
    let changes = evidence.changes.iter().filter(|it| it.is_on_agent(name));
    for change in changes.filter(|it| it.at_us <= at) {
        let settled = at >= change.at_us + SETTLING_PERIOD_US;
        let over = change
            .until_us
            .is_some_and(|until| at >= until + SETTLING_PERIOD_US);
        ready = match change.kind {
            ChangeKind::Start | ChangeKind::Undrain => settled,
            ChangeKind::Stop | ChangeKind::Drain | ChangeKind::Kill => false,
            _ => ready && over,
        };
    }
    ready
}
