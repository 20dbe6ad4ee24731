use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;

use super::{Comparison, Latency, direct_load::DirectLoad};
use crate::{
    caller::{self, AttemptEnd, CallerJournal, CallerOptions},
    deployment::{Binaries, Deployment},
    error::LabError,
    experiment::ExperimentOptions,
};

/// Puts the same load on the whole path and on the backend servers themselves.
///
/// Both ways are measured in one deployment, the whole path first.
///
/// # Errors
///
/// Fails where the deployment cannot be started or a load cannot be made.
pub async fn run(
    binaries: Binaries,
    options: &ExperimentOptions,
) -> Result<Comparison, Report<LabError>> {
    let deployment = Deployment::start(binaries, options.deployment.clone()).await?;
    let layout = deployment.layout();
    let service = &layout.services()[0];
    let mut load = CallerOptions::new(layout.service(0), &service.name, deployment.ca());
    load.callers = options.callers;
    load.rate = options.rate;
    load.duration = options.duration;
    load.post_percent = 0;
    load.seed = options.deployment.seed;
    let whole_path = latencies(&caller::run(load).await?)?;
    let direct = DirectLoad {
        service: service.name.clone(),
        backends: (1..=service.agents)
            .map(|number| layout.agent(number).backend())
            .collect(),
        rate: options.rate,
        duration: options.duration,
        seed: options.deployment.seed,
    };
    let direct = direct.run().await?;
    Ok(Comparison::new(
        Latency::of(&whole_path),
        Latency::of(&direct),
    ))
}

/// The latencies of whole and right answers, in microseconds.
fn latencies(journal: &CallerJournal) -> Result<Histogram<u64>, Report<LabError>> {
    let mut latencies = Histogram::new(3).change_context(LabError::Process)?;
    let right = |end| end == AttemptEnd::Right;
    for attempt in journal.attempts.iter().filter(|it| right(it.end)) {
        latencies.saturating_record(attempt.end_us.saturating_sub(attempt.start_us));
    }
    Ok(latencies)
}
