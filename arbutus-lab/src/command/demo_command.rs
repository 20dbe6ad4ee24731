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
Starts a small deployment on loopback (3 balancers, 7 and 3 agents for two services, the stand-ins
around them), serves requests through it while a balancer is killed and a backend server is drained,
prints what happened, and ends. Builds the daemons first where they are missing. Exits with 1 where
a promise was broken.

Usage: arbutus-lab demo
";

const SERVICE: &str = "lookup";
const DURATION: Duration = Duration::from_secs(6);

pub(super) async fn run(mut args: Args) -> Result<ExitCode, Report<LabError>> {
    if let Some(flag) = args.next()? {
        if flag.is_long("help") {
            print!("{HELP}");
            return Ok(ExitCode::SUCCESS);
        }
        return Err(unexpected_argument(&flag));
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
        println!("\nEvery promise held.");
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::FAILURE)
    }
}

fn event(at_s: u64, text: &str, action: Action) -> Event {
    Event {
        at: Duration::from_secs(at_s),
        action,
        text: text.into(),
    }
}

fn print_plan(options: &ExperimentOptions) {
    println!("A deployment on loopback, of real processes:");
    println!("  {} balancers", options.deployment.balancers);
    for service in &options.deployment.services {
        let (name, agents) = (&service.name, service.agents);
        println!("  {name}: {agents} backend servers with an agent beside each");
    }
    println!("  stand-ins for the fabric, the platform's store and callers\n");
    println!(
        "{} callers make {} requests a second to {SERVICE} for {} s; meanwhile:",
        options.callers,
        options.rate,
        options.duration.as_secs()
    );
    for event in &options.events {
        println!("  after {} s: {}", event.at.as_secs(), event.text);
    }
}

fn print_outcome(outcome: &Outcome) {
    let verdict = &outcome.verdict;
    let callers = &outcome.evidence.callers;
    println!("\nCallers made {} requests:", verdict.requests);
    println!("  {} answered", verdict.answered);
    println!("  {} told that they did not run", verdict.not_run);
    println!("  {} with unknown outcome", verdict.unknown);
    let right = callers.attempts.iter();
    let right = right.filter(|it| it.end == AttemptEnd::Right).count();
    println!(
        "  {right} whole and right bodies, {} wrong",
        verdict.wrong_answers
    );
    let broken = verdict.broken_flows_planned + verdict.broken_flows_unplanned;
    println!("  {} flows, {broken} broken", callers.flows.len());
    let latency = verdict.latency_ms;
    println!(
        "  latency {:.1} ms median, {:.1} ms at 99%",
        latency.p50, latency.p99
    );
    println!("\nBackend servers ran:");
    for journal in &outcome.evidence.backends {
        let runs = journal.runs.iter();
        let runs = runs.filter(|it| it.started_us.is_some()).count();
        println!("  {:<14} {:<16} {runs:>6}", journal.name, journal.service);
    }
    println!(
        "\nThe longest change of configuration was in force everywhere after {:.2} s.",
        verdict.config_in_force_s
    );
    println!(
        "The drained backend server got no new work after {:.2} s.",
        verdict.new_work_after_drain_s
    );
    for problem in &outcome.problems {
        println!("problem: {problem}");
    }
    for broken in verdict.violated_guarantees() {
        println!("broken promise: {} is {}", broken.figure, broken.value);
    }
}
