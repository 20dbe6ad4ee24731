use std::{sync::Arc, time::Duration};

use error_stack::Report;
use serde_json::json;
use tokio::{
    sync::Mutex,
    task::JoinSet,
    time::{self, Instant},
};

use super::{Findings, config_watch, step::Step};
use crate::{
    backend::BehaviourCommand,
    clock,
    deployment::{Deployment, LiveNodes, Operator},
    error::LabError,
    events::{Action, Node, Role, StoreBehaviour},
    fabric::FabricCommand,
    verdict::{Change, ChangeKind, Target},
};

/// Time for which the operator retries a failing change, for example while the store is down.
const OPERATOR_RETRY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two attempts of the operator.
const OPERATOR_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Performs the steps of an experiment at their scheduled times.
pub(super) struct Timeline<'a> {
    deployment: &'a mut Deployment,
    findings: Findings,
    /// Locked during a configuration change, so that only one takes place at a time.
    operator: Arc<Mutex<Operator>>,
    background: JoinSet<()>,
    /// Nodes that were asked to shut down and whose exit has not been awaited yet.
    stopped: Vec<Node>,
}

/// Configuration change by the operator.
#[derive(Debug, Clone)]
enum OperatorChange {
    Change,
    Drain(Node),
    Undrain(Node),
}

impl<'a> Timeline<'a> {
    /// Creates a timeline without steps.
    pub(super) fn new(deployment: &'a mut Deployment, findings: Findings) -> Self {
        let operator = Arc::new(Mutex::new(deployment.operator().clone()));
        Self {
            deployment,
            findings,
            operator,
            background: JoinSet::new(),
            stopped: Vec::new(),
        }
    }

    /// Performs all steps, then waits for the operator changes that they started.
    pub(super) async fn run(&mut self, start: Instant, steps: Vec<(Duration, Step)>) {
        for (at, step) in steps {
            time::sleep_until(start + at).await;
            if let Err(error) = self.perform_step(&step).await {
                self.findings.record_problem(format!("{step:?}: {error:?}"));
            }
        }
        while self.background.join_next().await.is_some() {}
    }

    /// Waits until all nodes that were asked to shut down have exited.
    pub(super) async fn finish(&mut self) {
        for node in std::mem::take(&mut self.stopped) {
            if let Err(error) = self.deployment.wait_for_clean_exit(node).await {
                self.findings
                    .record_problem(format!("stop of {node}: {error:?}"));
            }
        }
        for text in self.deployment.unexpected_exits() {
            self.findings.record_problem(text);
        }
    }

    async fn perform_step(&mut self, step: &Step) -> Result<(), Report<LabError>> {
        match step {
            Step::Change => {
                self.start_operator_change(OperatorChange::Change);
                Ok(())
            }
            Step::Resume(node) => self.deployment.resume_node(*node),
            Step::Act(action) => self.perform_action(action).await,
        }
    }

    async fn perform_action(&mut self, action: &Action) -> Result<(), Report<LabError>> {
        match action {
            Action::Kill(node) => {
                self.record_change(ChangeKind::Kill, change_target(*node), None);
                self.deployment.kill_node(*node).await
            }
            Action::Stop(node) => {
                self.record_change(ChangeKind::Stop, change_target(*node), None);
                self.stopped.push(*node);
                self.deployment.stop_node(*node).await
            }
            Action::Start(node) => {
                if let Some(index) = self.stopped.iter().position(|it| it == node) {
                    self.stopped.swap_remove(index);
                    self.deployment.wait_for_clean_exit(*node).await?;
                }
                self.record_change(ChangeKind::Start, change_target(*node), None);
                self.deployment.start_node(*node).await
            }
            Action::Pause(node, duration) => {
                self.record_change(ChangeKind::Pause, change_target(*node), Some(*duration));
                self.deployment.pause_node(*node)
            }
            Action::Replace(node) => {
                self.record_change(ChangeKind::Kill, change_target(*node), None);
                self.deployment.replace_agent(*node).await
            }
            Action::Drain(node) => {
                self.start_operator_change(OperatorChange::Drain(*node));
                Ok(())
            }
            Action::Undrain(node) => {
                self.start_operator_change(OperatorChange::Undrain(*node));
                Ok(())
            }
            Action::Store(behaviour) => self.inject_store_fault(*behaviour).await,
            Action::Links(faults, duration) => {
                self.record_change(ChangeKind::LinkFaults, Target::Links, Some(*duration));
                let command = FabricCommand::Faults {
                    faults: *faults,
                    for_ms: millis(*duration),
                };
                self.deployment.send_fabric_command(&command).await
            }
            Action::Cut(domain, duration) => {
                self.record_change(ChangeKind::Cut, Target::Links, Some(*duration));
                let command = FabricCommand::Cut {
                    addresses: self.deployment.balancers_in(domain),
                    for_ms: millis(*duration),
                };
                self.deployment.send_fabric_command(&command).await
            }
            Action::Backend(node, behaviour, duration) => {
                self.record_change(ChangeKind::Misbehave, change_target(*node), Some(*duration));
                let command = BehaviourCommand {
                    behaviour: *behaviour,
                    for_ms: Some(millis(*duration)),
                };
                self.deployment.set_backend_behaviour(*node, command).await
            }
        }
    }

    /// Injects the fault of an event into the store.
    async fn inject_store_fault(&self, behaviour: StoreBehaviour) -> Result<(), Report<LabError>> {
        let (fault, duration) = match behaviour {
            StoreBehaviour::Down(duration) => (
                json!({ "kind": "refuse", "for_ms": millis(duration) }),
                Some(duration),
            ),
            StoreBehaviour::Hang(duration) => (
                json!({ "kind": "hang", "for_ms": millis(duration) }),
                Some(duration),
            ),
            StoreBehaviour::Slow { delay, duration } => {
                let (delay_ms, for_ms) = (millis(delay), millis(duration));
                let fault = json!({ "kind": "slow", "delay_ms": delay_ms, "for_ms": for_ms });
                (fault, Some(duration))
            }
            StoreBehaviour::SilentWatch(duration) => (
                json!({ "kind": "silent-watch", "for_ms": millis(duration) }),
                Some(duration),
            ),
            StoreBehaviour::LoseAnswer => (json!({ "kind": "lose-answer" }), None),
        };
        self.record_change(ChangeKind::StoreFault, Target::Store, duration);
        self.deployment.inject_store_fault(&fault).await
    }

    /// Starts a change by the operator in the background and records when it is in force.
    fn start_operator_change(&mut self, change: OperatorChange) {
        let live = self.deployment.live_nodes().clone();
        let operator = Arc::clone(&self.operator);
        let findings = self.findings.clone();
        let layout = self.deployment.layout();
        let service = Arc::clone(&layout.services()[0].name);
        self.background.spawn(async move {
            let operator = operator.lock().await;
            apply_until_in_force(&operator, &service, &change, &live, &findings).await;
        });
    }

    /// Records a change that takes place now and ends after `duration`, if there is one.
    fn record_change(&self, kind: ChangeKind, target: Target, duration: Option<Duration>) {
        let now = clock::now_micros();
        let mut change = Change::new(now, kind, target);
        if let Some(duration) = duration {
            change = change.until_us(now + millis(duration) * 1_000);
        }
        self.findings.record_change(change);
    }
}

/// Applies a change, retrying on failure, and waits until it is in force at every running daemon.
///
/// The wait runs beside each attempt, because `arbutusctl` returns only after the configuration is
/// in force at the nodes that answer. The time is measured from the start of the successful
/// attempt.
async fn apply_until_in_force(
    operator: &Operator,
    service: &str,
    change: &OperatorChange,
    live: &LiveNodes,
    findings: &Findings,
) {
    let retry_until = Instant::now() + OPERATOR_RETRY_TIMEOUT;
    loop {
        let old = config_watch::highest_version(live).await;
        let (start, now) = (Instant::now(), clock::now_micros());
        let in_force = config_watch::wait_until_in_force(live, old, start);
        let mut in_force = std::pin::pin!(in_force);
        let mut outcome = None;
        let result = {
            let mut attempt = std::pin::pin!(apply_once(operator, service, change, now));
            loop {
                tokio::select! {
                    result = &mut attempt => break result,
                    it = &mut in_force, if outcome.is_none() => outcome = Some(it),
                }
            }
        };
        match result {
            Ok(record) => {
                findings.record_change(record);
                let outcome = match outcome {
                    Some(outcome) => outcome,
                    None => in_force.await,
                };
                findings.record_config_in_force(outcome.seconds);
                if !outcome.lagging.is_empty() {
                    let lagging = &outcome.lagging;
                    findings
                        .record_problem(format!("{change:?}: not in force in time at {lagging:?}"));
                }
                return;
            }
            Err(error) if Instant::now() > retry_until => {
                findings.record_problem(format!("{change:?}: {error:?}"));
                return;
            }
            Err(_) => time::sleep(OPERATOR_RETRY_INTERVAL).await,
        }
    }
}

/// Applies a change once and returns the record of it.
async fn apply_once(
    operator: &Operator,
    service: &str,
    change: &OperatorChange,
    now: u64,
) -> Result<Change, Report<LabError>> {
    match change {
        OperatorChange::Change => {
            operator.change_queue_length(service, now).await?;
            Ok(Change::new(now, ChangeKind::Apply, Target::Store))
        }
        OperatorChange::Drain(node) => {
            operator.drain(service, &node.to_string()).await?;
            Ok(Change::new(now, ChangeKind::Drain, change_target(*node)))
        }
        OperatorChange::Undrain(node) => {
            operator.undrain(service, &node.to_string()).await?;
            Ok(Change::new(now, ChangeKind::Undrain, change_target(*node)))
        }
    }
}

/// Returns the target that a change of `node` is recorded with.
fn change_target(node: Node) -> Target {
    let name = Arc::from(node.to_string());
    match node.role {
        Role::Balancer => Target::Balancer(name),
        Role::Agent => Target::Agent(name),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
