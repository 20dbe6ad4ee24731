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

/// How long the operator tries again where the store does not answer.
const OPERATOR_RETRY_TIMEOUT: Duration = Duration::from_secs(30);
const OPERATOR_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Does the steps of an experiment at their times.
pub(super) struct Timeline<'a> {
    deployment: &'a mut Deployment,
    findings: Findings,
    /// One change of configuration at a time.
    operator: Arc<Mutex<Operator>>,
    background: JoinSet<()>,
    stopped: Vec<Node>,
}

/// A change that the operator makes.
#[derive(Debug, Clone)]
enum OperatorChange {
    Change,
    Drain(Node),
    Undrain(Node),
}

impl<'a> Timeline<'a> {
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

    /// Does all steps, then waits for what they set off.
    pub(super) async fn run(&mut self, start: Instant, steps: Vec<(Duration, Step)>) {
        for (at, step) in steps {
            time::sleep_until(start + at).await;
            if let Err(error) = self.perform_step(&step).await {
                self.findings.record_problem(format!("{step:?}: {error:?}"));
            }
        }
        while self.background.join_next().await.is_some() {}
    }

    /// Waits until nodes that were asked to end have done so.
    pub(super) async fn finish(&mut self) {
        for node in std::mem::take(&mut self.stopped) {
            if let Err(error) = self.deployment.wait_for_clean_exit(node).await {
                self.findings
                    .record_problem(format!("stop of {node}: {error:?}"));
            }
        }
        for text in self.deployment.ended() {
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
            Action::Pause(node, span) => {
                self.record_change(ChangeKind::Pause, change_target(*node), Some(*span));
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
            Action::Store(behaviour) => self.store(*behaviour).await,
            Action::Links(faults, span) => {
                self.record_change(ChangeKind::LinkFaults, Target::Links, Some(*span));
                let command = FabricCommand::Faults {
                    faults: *faults,
                    for_ms: millis(*span),
                };
                self.deployment.send_fabric_command(&command).await
            }
            Action::Cut(domain, span) => {
                self.record_change(ChangeKind::Cut, Target::Links, Some(*span));
                let command = FabricCommand::Cut {
                    addresses: self.deployment.balancers_in(domain),
                    for_ms: millis(*span),
                };
                self.deployment.send_fabric_command(&command).await
            }
            Action::Backend(node, behaviour, span) => {
                self.record_change(ChangeKind::Misbehave, change_target(*node), Some(*span));
                let command = BehaviourCommand {
                    behaviour: *behaviour,
                    for_ms: Some(millis(*span)),
                };
                self.deployment.backend(*node, command).await
            }
        }
    }

    async fn store(&self, behaviour: StoreBehaviour) -> Result<(), Report<LabError>> {
        let (fault, span) = match behaviour {
            StoreBehaviour::Down(span) => (
                json!({ "kind": "refuse", "for_ms": millis(span) }),
                Some(span),
            ),
            StoreBehaviour::Hang(span) => (
                json!({ "kind": "hang", "for_ms": millis(span) }),
                Some(span),
            ),
            StoreBehaviour::Slow { delay, span } => {
                let (delay_ms, for_ms) = (millis(delay), millis(span));
                let fault = json!({ "kind": "slow", "delay_ms": delay_ms, "for_ms": for_ms });
                (fault, Some(span))
            }
            StoreBehaviour::SilentWatch(span) => (
                json!({ "kind": "silent-watch", "for_ms": millis(span) }),
                Some(span),
            ),
            StoreBehaviour::LoseAnswer => (json!({ "kind": "lose-answer" }), None),
        };
        self.record_change(ChangeKind::StoreFault, Target::Store, span);
        self.deployment.inject_store_fault(&fault).await
    }

    /// Lets the operator make a change in the background, and measures when it is in force.
    fn start_operator_change(&mut self, order: OperatorChange) {
        let live = self.deployment.live_nodes().clone();
        let operator = Arc::clone(&self.operator);
        let findings = self.findings.clone();
        let layout = self.deployment.layout();
        let service = Arc::clone(&layout.services()[0].name);
        self.background.spawn(async move {
            let operator = operator.lock().await;
            apply_until_in_force(&operator, &service, &order, &live, &findings).await;
        });
    }

    fn record_change(&self, kind: ChangeKind, target: Target, span: Option<Duration>) {
        let now = clock::now_micros();
        let mut change = Change::new(now, kind, target);
        if let Some(span) = span {
            change = change.until_us(now + millis(span) * 1_000);
        }
        self.findings.change(change);
    }
}

/// Makes the change, again where the store does not answer, and waits until it is in force.
async fn apply_until_in_force(
    operator: &Operator,
    service: &str,
    order: &OperatorChange,
    live: &LiveNodes,
    findings: &Findings,
) {
    let patience = Instant::now() + OPERATOR_RETRY_TIMEOUT;
    loop {
        let old = config_watch::highest_version(live).await;
        let (start, now) = (Instant::now(), clock::now_micros());
        let in_force = config_watch::wait_until_in_force(live, old, start);
        let mut in_force = std::pin::pin!(in_force);
        let mut seen = None;
        let result = {
            let mut made = std::pin::pin!(apply_once(operator, service, order, now));
            loop {
                tokio::select! {
                    result = &mut made => break result,
                    it = &mut in_force, if seen.is_none() => seen = Some(it),
                }
            }
        };
        match result {
            Ok(change) => {
                findings.change(change);
                let seen = match seen {
                    Some(seen) => seen,
                    None => in_force.await,
                };
                findings.record_config_in_force(seen.seconds);
                if !seen.lagging.is_empty() {
                    let lagging = &seen.lagging;
                    findings.record_problem(format!("{order:?}: never in force at {lagging:?}"));
                }
                return;
            }
            Err(error) if Instant::now() > patience => {
                findings.record_problem(format!("{order:?}: {error:?}"));
                return;
            }
            Err(_) => time::sleep(OPERATOR_RETRY_INTERVAL).await,
        }
    }
}

async fn apply_once(
    operator: &Operator,
    service: &str,
    order: &OperatorChange,
    now: u64,
) -> Result<Change, Report<LabError>> {
    match order {
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

fn change_target(node: Node) -> Target {
    let name = Arc::from(node.to_string());
    match node.role {
        Role::Balancer => Target::Balancer(name),
        Role::Agent => Target::Agent(name),
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
