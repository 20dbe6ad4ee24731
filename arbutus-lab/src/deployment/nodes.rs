use std::{process::ExitStatus, sync::Arc, time::Duration};

use error_stack::Report;
use nix::sys::signal::Signal;

use super::{AgentPlan, Deployment, ManagedProcess, layout, stand_ins::fetch_journal};
use crate::{
    error::LabError,
    events::{Node, Role},
    fabric::FabricCommand,
};

/// How long the fabric takes to notice that a balancer is gone, in milliseconds.
const FABRIC_DETECTION_DELAY_MS: u64 = 1_000;
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// What can be done to single nodes.
impl Deployment {
    /// Ends a node at once.
    ///
    /// # Errors
    ///
    /// Fails where it does not run.
    pub async fn kill_node(&mut self, node: Node) -> Result<(), Report<LabError>> {
        self.live.remove(&node.to_string());
        self.process(node)?.kill().await?;
        self.remove_from_fabric(node).await
    }

    /// Asks a node to end; it ends when it sees fit.
    ///
    /// # Errors
    ///
    /// Fails where it does not run.
    pub async fn stop_node(&mut self, node: Node) -> Result<(), Report<LabError>> {
        self.live.remove(&node.to_string());
        self.process(node)?.signal(Signal::SIGTERM)?;
        self.remove_from_fabric(node).await
    }

    /// Waits until nodes that were asked to end have ended.
    ///
    /// # Errors
    ///
    /// Fails where one does not end, or ends with a failure.
    pub async fn wait_for_clean_exit(&mut self, node: Node) -> Result<(), Report<LabError>> {
        let status = self.wait_for_exit(node).await?;
        if status.success() {
            Ok(())
        } else {
            Err(Report::new(LabError::Process).attach(format!("{node} ended with {status}")))
        }
    }

    /// Stops a node in its tracks.
    ///
    /// # Errors
    ///
    /// Fails where it does not run.
    pub fn pause_node(&mut self, node: Node) -> Result<(), Report<LabError>> {
        self.live.remove(&node.to_string());
        self.process(node)?.signal(Signal::SIGSTOP)
    }

    /// Lets a paused node go on.
    ///
    /// # Errors
    ///
    /// Fails where it does not run.
    pub fn resume_node(&mut self, node: Node) -> Result<(), Report<LabError>> {
        self.process(node)?.signal(Signal::SIGCONT)?;
        let host = match node.role {
            Role::Balancer => self.layout.balancer_host(node.number),
            Role::Agent => self.layout.agent(node.number).host,
        };
        let name = Arc::from(node.to_string());
        self.live.add(&name, layout::admin_listen(host));
        Ok(())
    }

    /// Puts an agent of another service at the address of an agent that is killed first.
    ///
    /// # Errors
    ///
    /// Fails where there is no other service, or a process does not become ready.
    pub async fn replace_agent(&mut self, node: Node) -> Result<(), Report<LabError>> {
        self.kill_node(node).await?;
        let old = self.layout.agent(node.number);
        if let Some((plan, mut backend)) = self.backends.remove(&old.name) {
            self.retired_journals.push(fetch_journal(&plan).await?);
            backend.kill().await?;
        }
        let other = self.layout.services().get(1);
        let other = other.ok_or(LabError::NotReady)?;
        let plan = AgentPlan {
            name: Arc::from(format!("{}-replaced", old.name)),
            service: Arc::clone(&other.name),
            host: old.host,
        };
        self.start_agent(plan).await
    }

    /// Daemons that ended by themselves, each with its exit status.
    pub fn ended(&mut self) -> Vec<String> {
        let live = self.live.admin_addresses();
        let balancers = self.balancers.values_mut();
        let agents = self.agents.values_mut();
        balancers
            .chain(agents)
            .filter(|process| live.contains_key(process.name()))
            .filter_map(|process| {
                let status = process.exit_status()?;
                Some(format!("{} ended by itself: {status}", process.name()))
            })
            .collect()
    }

    /// Waits until the process of a node has ended, however it does.
    pub(super) async fn wait_for_exit(
        &mut self,
        node: Node,
    ) -> Result<ExitStatus, Report<LabError>> {
        self.process(node)?.wait(STOP_TIMEOUT).await
    }

    pub(super) fn process(&mut self, node: Node) -> Result<&mut ManagedProcess, Report<LabError>> {
        let process = match node.role {
            Role::Balancer => self.balancers.get_mut(&node.number),
            Role::Agent => self.agents.get_mut(node.to_string().as_str()),
        };
        process.ok_or_else(|| Report::new(LabError::Process).attach(format!("no {node} runs")))
    }
    async fn remove_from_fabric(&self, node: Node) -> Result<(), Report<LabError>> {
        if node.role == Role::Agent {
            return Ok(());
        }
        let address = layout::fabric_listen(self.layout.balancer_host(node.number));
        let after_ms = FABRIC_DETECTION_DELAY_MS;
        self.send_fabric_command(&FabricCommand::RemoveBalancer { address, after_ms })
            .await
    }
}
