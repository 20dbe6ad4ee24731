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
Runs an experiment on real processes: a deployment on loopback under load, with events. Computes a
verdict from the journals of callers and backend servers and prints it last, as one JSON object.
Exits with 1 if a guarantee was violated.

Usage: arbutus-lab run [OPTIONS]

Options:
  --balancers N       number of balancers at the start [3]
  --agents N          number of agents of the service under test at the start [7]
  --callers N         number of callers, each with its own session [40]
  --rate R            requests per second of all callers together [400]
  --seconds S         time in which new requests are sent [10]
  --post-percent P    share of requests that are not repeatable, in percent [30]
  --mean-ms MS        mean service time of the backend servers [20]
  --seed K            seed of the random choices [0]
  --service NAME      the service under test [tahsis-canli]
  --event 'AT ACTION TARGET'
                      event during the run; repeatable:
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
  --save FILE         write figures and journals for `arbutus-lab report`
  --keep              keep settings and logs of the deployment and print their folder
  --json              print only the JSON object
";

/// Options of `arbutus-lab run`.
#[derive(Debug)]
struct RunOptions {
    experiment: ExperimentOptions,
    /// File for the figures and journals.
    save: Option<PathBuf>,
    /// Whether only the JSON object is printed to stdout.
    json: bool,
}

/// Runs `arbutus-lab run`.
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

/// Parses the options; returns `None` if help is requested.
fn parse(mut args: Args) -> Result<Option<RunOptions>, Report<LabError>> {
    let mut options = RunOptions {
        experiment: ExperimentOptions::new("tahsis-canli"),
        save: None,
        json: false,
    };
    let mut service: Option<String> = None;
    let mut agents = None;
    while let Some(argument) = args.next()? {
        let Argument::Long(name) = &argument else {
            return Err(unexpected_argument(&argument));
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
            _ => return Err(unexpected_argument(&argument)),
        }
    }
    let deployment = &mut options.experiment.deployment;
    if let Some(name) = service {
        let defaults = crate::deployment::DeploymentOptions::new(&name);
        deployment.services = defaults.services;
    }
    if let Some(agents) = agents {
        deployment.services[0].agents = agents;
    }
    Ok(Some(options))
}

/// Starts a progress bar that follows the duration of the load.
///
/// Returns `None` if stderr is not a terminal or only the JSON object is to be printed.
fn progress_bar(options: &RunOptions) -> Option<ProgressBar> {
    if options.json || !stderr().is_terminal() {
        return None;
    }
    let tenths = options.experiment.duration.as_millis() / 100;
    let bar = Arc::new(ProgressBar::new(u64::try_from(tenths).ok()?));
    let ticking_bar = ProgressBar::clone(&bar);
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(Duration::from_millis(100));
        while !ticking_bar.is_finished() {
            ticks.tick().await;
            ticking_bar.inc(1);
        }
    });
    Some(ProgressBar::clone(&bar))
}

/// Prints problems and violated guarantees to stderr, and the changes and the verdict to stdout.
fn print_outcome(outcome: &Outcome, json: bool) -> Result<(), Report<LabError>> {
    for problem in &outcome.problems {
        eprintln!("problem: {problem}");
    }
    for violation in outcome.verdict.violated_guarantees() {
        eprintln!(
            "violated guarantee: {} is {}",
            violation.figure, violation.value
        );
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
