use error_stack::Report;
use hdrhistogram::Histogram;

use super::{Comparison, Latency, direct_load::DirectLoad};
use crate::{
    caller::{self, AttemptEnd, CallerJournal, CallerOptions},
    deployment::{Binaries, Deployment},
    error::LabError,
    experiment::ExperimentOptions,
};

/// Sends the same load through the load balancer and directly to the backend servers.
///
/// Both paths are measured in one deployment, the path through the load balancer first.
///
/// # Errors
///
/// Returns an error if the deployment cannot be started or a load fails.
pub async fn run(
    binaries: Binaries,
    options: &ExperimentOptions,
) -> Result<Comparison, Report<LabError>> {
    let deployment = Deployment::start(binaries, options.deployment.clone()).await?;
    let layout = deployment.layout();
    let service = &layout.services()[0];
    let mut load = CallerOptions::new(
        layout.service_address(0),
        &service.name,
        deployment.ca_file(),
    );
    load.callers = options.callers;
    load.rate = options.rate;
    load.duration = options.duration;
    load.post_percent = 0;
    load.seed = options.deployment.seed;
    let whole_path = latencies(&caller::run(load).await?);
    let direct = DirectLoad {
        service: service.name.clone(),
        backends: (1..=service.agents)
            .map(|number| layout.agent(number).backend_address())
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

/// Returns the latencies of complete and correct answers, in microseconds.
fn latencies(journal: &CallerJournal) -> Histogram<u64> {
    let mut latencies = Latency::histogram();
    let is_correct = |end| end == AttemptEnd::Right;
    for attempt in journal.attempts.iter().filter(|it| is_correct(it.end)) {
        latencies.saturating_record(attempt.end_us.saturating_sub(attempt.start_us));
    }
    latencies
}
