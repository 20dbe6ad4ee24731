use std::sync::Arc;

use error_stack::Report;
use tokio::time::Instant;

use super::{
    ExperimentOptions, Findings, Outcome, control_sampler::ControlSampler, load::Load, step,
    timeline::Timeline,
};
use crate::{
    clock,
    deployment::{Binaries, Deployment},
    error::LabError,
    verdict::{Evidence, Verdict},
};

/// Runs an experiment and computes its verdict.
///
/// # Errors
///
/// Returns an error if the deployment cannot be started or its journals cannot be fetched. A
/// violated guarantee is part of the outcome, not an error.
pub async fn run(
    binaries: Binaries,
    options: &ExperimentOptions,
) -> Result<Outcome, Report<LabError>> {
    let mut deployment = Deployment::start(binaries, options.deployment.clone()).await?;
    if options.keep_files {
        eprintln!("files are kept in {}", deployment.keep_files().display());
    }
    let sampler = ControlSampler::start(deployment.live_nodes().clone());
    let findings = Findings::default();
    let started_us = clock::now_micros();
    let start = Instant::now();
    let load = Load::start(&deployment, options);
    let steps = step::steps(&options.events, options.duration);
    let mut timeline = Timeline::new(&mut deployment, findings.clone());
    timeline.run(start, steps).await;
    let callers = load.finish().await?;
    let ended_us = started_us + u64::try_from(options.duration.as_micros()).unwrap_or(0);
    timeline.finish().await;
    let control_bytes_per_s = sampler.finish();
    let mut evidence = Evidence {
        service: Arc::clone(&options.deployment.services[0].name),
        started_us,
        ended_us,
        callers,
        backends: deployment.backend_journals().await?,
        ..Evidence::default()
    };
    evidence.measured.control_bytes_per_s = control_bytes_per_s;
    let problems = findings.move_into(&mut evidence);
    Ok(Outcome {
        verdict: Verdict::of(&evidence),
        problems,
        evidence,
    })
}
