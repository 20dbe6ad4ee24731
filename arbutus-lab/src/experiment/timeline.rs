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
const OPERATOR_PATIENCE: Duration = Duration::from_secs(30);
const OPERATOR_PAUSE: Duration = Duration::from_millis(500);

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
enum Order {
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
            if let Err(error) = self.perform(&step).await {
                self.findings.problem(format!("{step:?}: {error:?}"));
            }
        }
        while self.background.join_next().await.is_some() {}
    }

    /// Waits until nodes that were asked to end have done so.
    pub(super) async fn finish(&mut self) {
        for node in std::mem::take(&mut self.stopped) {
            if let Err(error) = self.deployment.wait_for_stopped(node).await {
                self.findings.problem(format!("stop of {node}: {error:?}"));
            }
        }
        for text in self.deployment.ended() {
            self.findings.problem(text);
        }
    }

    async fn perform(&mut self, step: &Step) -> Result<(), Report<LabError>> {
        match step {
            Step::Change => {
                self.order(Order::Change);
                Ok(())
            }
            Step::Resume(node) => self.deployment.resume_node(*node),
            Step::Act(action) => self.act(action).await,
        }
    }

    async fn act(&mut self, action: &Action) -> Result<(), Report<LabError>> {
        match action {
            Action::Kill(node) => {
                self.note(ChangeKind::Kill, target(*node), None);
                self.deployment.kill_node(*node).await
            }
            Action::Stop(node) => {
                self.note(ChangeKind::Stop, target(*node), None);
                self.stopped.push(*node);
                self.deployment.stop_node(*node).await
            }
            Action::Start(node) => {
                if let Some(index) = self.stopped.iter().position(|it| it == node) {
                    self.stopped.swap_remove(index);
                    self.deployment.wait_for_stopped(*node).await?;
                }
                self.note(ChangeKind::Start, target(*node), None);
                self.deployment.start_node(*node).await
            }
            Action::Pause(node, span) => {
                self.note(ChangeKind::Pause, target(*node), Some(*span));
                self.deployment.pause_node(*node)
            }
            Action::Replace(node) => {
                self.note(ChangeKind::Kill, target(*node), None);
                self.deployment.replace_agent(*node).await
            }
            Action::Drain(node) => {
                self.order(Order::Drain(*node));
                Ok(())
            }
            Action::Undrain(node) => {
                self.order(Order::Undrain(*node));
                Ok(())
            }
            Action::Store(behaviour) => self.store(*behaviour).await,
            Action::Links(faults, span) => {
                self.note(ChangeKind::LinkFaults, Target::Links, Some(*span));
                let command = FabricCommand::Faults {
                    faults: *faults,
                    for_ms: millis(*span),
                };
                self.deployment.fabric(&command).await
            }
            Action::Cut(domain, span) => {
                self.note(ChangeKind::Cut, Target::Links, Some(*span));
                let command = FabricCommand::Cut {
                    addresses: self.deployment.balancers_in(domain),
                    for_ms: millis(*span),
                };
                self.deployment.fabric(&command).await
            }
            Action::Backend(node, behaviour, span) => {
                self.note(ChangeKind::Misbehave, target(*node), Some(*span));
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
            StoreBehaviour::Slow { delay, duration } => {
                let (delay_ms, for_ms) = (millis(delay), millis(duration));
                let fault = json!({ "kind": "slow", "delay_ms": delay_ms, "for_ms": for_ms });
                (fault, Some(duration))
            }
            StoreBehaviour::SilentWatch(span) => (
                json!({ "kind": "silent-watch", "for_ms": millis(span) }),
                Some(span),
            ),
            StoreBehaviour::LoseAnswer => (json!({ "kind": "lose-answer" }), None),
        };
        self.note(ChangeKind::StoreFault, Target::Store, span);
        self.deployment.store(&fault).await
    }

    /// Lets the operator make a change in the background, and measures when it is in force.
    fn order(&mut self, order: Order) {
        let live = self.deployment.live().clone();
        let operator = Arc::clone(&self.operator);
        let findings = self.findings.clone();
        let layout = self.deployment.layout();
        let service = Arc::clone(&layout.services()[0].name);
        self.background.spawn(async move {
            let operator = operator.lock().await;
            carry_out(&operator, &service, &order, &live, &findings).await;
        });
    }

    fn note(&self, kind: ChangeKind, target: Target, span: Option<Duration>) {
        let now = clock::now_micros();
        let mut change = Change::new(now, kind, target);
        if let Some(span) = span {
            change = change.until_us(now + millis(span) * 1_000);
        }
        self.findings.change(change);
    }
}

/// Makes the change, again where the store does not answer, and waits until it is in force.
async fn carry_out(
    operator: &Operator,
    service: &str,
    order: &Order,
    live: &LiveNodes,
    findings: &Findings,
) {
    let patience = Instant::now() + OPERATOR_PATIENCE;
    loop {
        let old = config_watch::highest_version(live).await;
        let (start, now) = (Instant::now(), clock::now_micros());
        let in_force = config_watch::in_force(live, old, start);
        let mut in_force = std::pin::pin!(in_force);
        let mut seen = None;
        let result = {
            let mut made = std::pin::pin!(make(operator, service, order, now));
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
                findings.config_in_force(seen.seconds);
                if !seen.lagging.is_empty() {
                    let lagging = &seen.lagging;
                    findings.problem(format!("{order:?}: never in force at {lagging:?}"));
                }
                return;
            }
            Err(error) if Instant::now() > patience => {
                findings.problem(format!("{order:?}: {error:?}"));
                return;
            }
            Err(_) => time::sleep(OPERATOR_PAUSE).await,
        }
    }
}

async fn make(
    operator: &Operator,
    service: &str,
    order: &Order,
    now: u64,
) -> Result<Change, Report<LabError>> {
    match order {
        Order::Change => {
            operator.change(service, now).await?;
            Ok(Change::new(now, ChangeKind::Apply, Target::Store))
        }
        Order::Drain(node) => {
            operator.drain(service, &node.to_string()).await?;
            Ok(Change::new(now, ChangeKind::Drain, target(*node)))
        }
        Order::Undrain(node) => {
            operator.undrain(service, &node.to_string()).await?;
            Ok(Change::new(now, ChangeKind::Undrain, target(*node)))
        }
    }
}

fn target(node: Node) -> Target {
    let name = Arc::from(node.to_string());
    match node.role {
        Role::Balancer => Target::Balancer(name),
        Role::Agent => Target::Agent(name),
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
