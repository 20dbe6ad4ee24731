use std::{
    fs,
    io::{IsTerminal, stderr},
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use error_stack::{Report, ResultExt};
use indicatif::ProgressBar;

use super::args::{Args, Argument, unexpected_argument};
use crate::{
    deployment::Binaries,
    error::LabError,
    experiment::{self, ExperimentOptions, Outcome},
};

const HELP: &str = "\
Makes an experiment on real processes: a deployment on loopback under load, with events, judged by
what callers and backend servers wrote down. Prints, last, one JSON object with the figures. Exits
with 1 where a promise was broken.

Usage: arbutus-lab run [OPTIONS]

Options:
  --balancers N       balancers at the start [3]
  --agents N          agents of the service under test at the start [7]
  --callers N         callers, each with a session of its own [40]
  --rate R            requests each second over all callers [400]
  --seconds S         how long new requests are made [10]
  --post-percent P    share of requests that may not be repeated [30]
  --mean-ms MS        mean service time at the backend servers [20]
  --seed K            seed of the random choices [0]
  --service NAME      the service under test [tahsis-canli]
  --event 'AT ACTION TARGET'
                      something that happens, any number of them:
                        3s kill balancer-1         4s stop agent-2
                        5s start agent-8           5s pause agent-3 for 2s
                        6s drain agent-4           8s undrain agent-4
                        6s replace agent-2         4s cut zone-1 for 2s
                        2s store down for 5s       2s store slow 300ms for 5s
                        2s store hang for 5s       2s store silent-watch for 5s
                        2s store lose-answer
                        4s fabric loss 2% delay 5ms..20ms reorder 1% duplicate 1% for 3s
                        3s backend backend-2 slow for 2s
                          (or cold, shed, late, short, crossed, lying, draining)
  --save FILE         writes figures and journals, for `arbutus-lab report`
  --keep              keeps settings and logs of the deployment, and tells where
  --json              prints nothing but the JSON object
";

#[derive(Debug)]
struct RunOptions {
    experiment: ExperimentOptions,
    save: Option<PathBuf>,
    json: bool,
}

pub(super) async fn run(args: Args) -> Result<ExitCode, Report<LabError>> {
    let Some(options) = parse(args)? else {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    };
    let binaries = Binaries::find_beside_current_exe()?;
    let bar = progress_bar(&options);
    let outcome = experiment::run(binaries, &options.experiment).await;
    if let Some(bar) = bar {
        bar.finish_and_clear();
    }
    let outcome = outcome?;
    if let Some(path) = &options.save {
        let text = serde_json::to_vec(&outcome).change_context(LabError::File)?;
        fs::write(path, text).change_context(LabError::File)?;
    }
    print_outcome(&outcome, options.json)?;
    if outcome.is_success() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::FAILURE)
    }
}

/// The options, or nothing where help is asked for.
fn parse(mut args: Args) -> Result<Option<RunOptions>, Report<LabError>> {
    let mut options = RunOptions {
        experiment: ExperimentOptions::new("tahsis-canli"),
        save: None,
        json: false,
    };
    let mut service: Option<String> = None;
    let mut agents = None;
    while let Some(flag) = args.next()? {
        let Argument::Long(name) = &flag else {
            return Err(unexpected_argument(&flag));
        };
        let experiment = &mut options.experiment;
        match name.as_str() {
            "balancers" => experiment.deployment.balancers = args.value()?,
            "agents" => agents = Some(args.value()?),
            "callers" => experiment.callers = args.value()?,
            "rate" => experiment.rate = args.value()?,
            "seconds" => experiment.duration = Duration::from_secs(args.value()?),
            "post-percent" => experiment.post_percent = args.value()?,
            "mean-ms" => experiment.deployment.mean_service_ms = args.value()?,
            "seed" => experiment.deployment.seed = args.value()?,
            "service" => service = Some(args.value()?),
            "event" => experiment.events.push(args.value()?),
            "save" => options.save = Some(PathBuf::from(args.value::<String>()?)),
            "keep" => experiment.keep_files = true,
            "json" => options.json = true,
            "help" => return Ok(None),
            _ => return Err(unexpected_argument(&flag)),
        }
    }
    let deployment = &mut options.experiment.deployment;
    if let Some(name) = service {
        let of_service = crate::deployment::DeploymentOptions::new(&name);
        deployment.services = of_service.services;
    }
    if let Some(agents) = agents {
        deployment.services[0].agents = agents;
    }
    Ok(Some(options))
}

/// A bar that fills with time, at a terminal only.
fn progress_bar(options: &RunOptions) -> Option<ProgressBar> {
    if options.json || !stderr().is_terminal() {
        return None;
    }
    let tenths = options.experiment.duration.as_millis() / 100;
    let bar = Arc::new(ProgressBar::new(u64::try_from(tenths).ok()?));
    let ticking = ProgressBar::clone(&bar);
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(Duration::from_millis(100));
        while !ticking.is_finished() {
            ticks.tick().await;
            ticking.inc(1);
        }
    });
    Some(ProgressBar::clone(&bar))
}

fn print_outcome(outcome: &Outcome, json: bool) -> Result<(), Report<LabError>> {
    for problem in &outcome.problems {
        eprintln!("problem: {problem}");
    }
    for broken in outcome.verdict.violated_guarantees() {
        eprintln!("broken promise: {} is {}", broken.figure, broken.value);
    }
    if !json {
        let flows = outcome.evidence.callers.flows.len();
        println!(
            "{flows} flows, {} attempts",
            outcome.evidence.callers.attempts.len()
        );
        for change in &outcome.evidence.changes {
            let at = change.at_us.saturating_sub(outcome.evidence.started_us) / 1_000;
            println!("{at:>6} ms  {:?} {:?}", change.kind, change.target);
        }
    }
    let text = serde_json::to_string(&outcome.verdict).change_context(LabError::File)?;
    println!("{text}");
    Ok(())
}
