use std::{process::ExitCode, time::Duration};

use error_stack::Report;

use super::args::{Args, unexpected_argument};
use crate::{
    caller::AttemptEnd,
    deployment::Binaries,
    error::LabError,
    events::{Action, Event, Node},
    experiment::{self, ExperimentOptions, Outcome},
};

const HELP: &str = "\
Starts a small deployment on loopback (3 balancers, 7 and 3 agents for two services, and the
stand-ins), serves requests through it while a balancer is killed and a backend server is drained,
prints a summary and exits. Builds the daemons first if they are missing. Exits with 1 if a
guarantee was violated.

Usage: arbutus-lab demo
";

/// Service under test.
const SERVICE: &str = "lookup";
/// Time in which new requests are sent.
const DURATION: Duration = Duration::from_secs(6);

/// Runs `arbutus-lab demo`.
pub(super) async fn run(mut args: Args) -> Result<ExitCode, Report<LabError>> {
    if let Some(argument) = args.next()? {
        if argument.is_long("help") {
            print!("{HELP}");
            return Ok(ExitCode::SUCCESS);
        }
        return Err(unexpected_argument(&argument));
    }
    let binaries = Binaries::find_beside_current_exe()?;
    let mut options = ExperimentOptions::new(SERVICE);
    options.callers = 20;
    options.rate = 200;
    options.duration = DURATION;
    options.events = vec![
        event(2, "kill balancer-1", Action::Kill(Node::balancer(1))),
        event(3, "drain agent-2", Action::Drain(Node::agent(2))),
    ];
    print_plan(&options);
    let outcome = experiment::run(binaries, &options).await?;
    print_outcome(&outcome);
    if outcome.is_success() {
        println!("\nAll guarantees held.");
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::FAILURE)
    }
}

/// Creates an event `at_s` seconds after the load begins.
fn event(at_s: u64, text: &str, action: Action) -> Event {
    Event {
        at: Duration::from_secs(at_s),
        action,
        text: text.into(),
    }
}

/// Prints the deployment, the load and the events before the run.
fn print_plan(options: &ExperimentOptions) {
    println!("Deployment of real processes on loopback:");
    println!("  {} balancers", options.deployment.balancers);
    for service in &options.deployment.services {
        let (name, agents) = (&service.name, service.agents);
        println!("  {name}: {agents} backend servers, each with an agent");
    }
    println!("  stand-ins for the fabric, the platform's store and callers\n");
    println!(
        "{} callers send {} requests per second to {SERVICE} for {} s. Events:",
        options.callers,
        options.rate,
        options.duration.as_secs()
    );
    for event in &options.events {
        println!("  after {} s: {}", event.at.as_secs(), event.text);
    }
}

/// Prints a summary of the run.
fn print_outcome(outcome: &Outcome) {
    let verdict = &outcome.verdict;
    let callers = &outcome.evidence.callers;
    println!("\nCallers sent {} requests:", verdict.requests);
    println!("  {} answered", verdict.answered);
    println!("  {} reported as not run", verdict.not_run);
    println!("  {} with unknown outcome", verdict.unknown);
    let correct = callers.attempts.iter();
    let correct = correct.filter(|it| it.end == AttemptEnd::Right).count();
    println!(
        "  {correct} complete and correct bodies, {} wrong",
        verdict.wrong_answers
    );
    let broken = verdict.broken_flows_planned + verdict.broken_flows_unplanned;
    println!("  {} flows, {broken} broken", callers.flows.len());
    let latency = verdict.latency_ms;
    println!(
        "  latency: median {:.1} ms, 99th percentile {:.1} ms",
        latency.p50, latency.p99
    );
    println!("\nRequests that each backend server ran:");
    for journal in &outcome.evidence.backends {
        let runs = journal.runs.iter();
        let runs = runs.filter(|it| it.started_us.is_some()).count();
        println!("  {:<14} {:<16} {runs:>6}", journal.name, journal.service);
    }
    println!(
        "\nThe slowest configuration change was in force everywhere after {:.2} s.",
        verdict.config_in_force_s
    );
    println!(
        "The drained backend server received no new work later than {:.2} s after the drain.",
        verdict.new_work_after_drain_s
    );
    for problem in &outcome.problems {
        println!("problem: {problem}");
    }
    for violation in verdict.violated_guarantees() {
        println!(
            "violated guarantee: {} is {}",
            violation.figure, violation.value
        );
    }
}
