use std::{process::ExitStatus, sync::Arc, time::Duration};

use error_stack::Report;
use nix::sys::signal::Signal;

use super::{AgentPlan, Deployment, ManagedProcess, layout, stand_ins::fetch_journal};
use crate::{
    error::LabError,
    events::{Node, Role},
    fabric::FabricCommand,
};

/// Time after which the fabric stops sending datagrams to a balancer that has left, in
/// milliseconds.
const FABRIC_DETECTION_DELAY_MS: u64 = 1_000;
/// Time in which a node must exit after a stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// Operations on single nodes.
impl Deployment {
    /// Kills a node.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not run.
    pub async fn kill_node(&mut self, node: Node) -> Result<(), Report<LabError>> {
        self.live.remove(&node.to_string());
        self.process(node)?.kill().await?;
        self.remove_from_fabric(node).await
    }

    /// Requests a graceful shutdown of a node without waiting for its exit.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not run.
    pub async fn stop_node(&mut self, node: Node) -> Result<(), Report<LabError>> {
        self.live.remove(&node.to_string());
        self.process(node)?.signal(Signal::SIGTERM)?;
        self.remove_from_fabric(node).await
    }

    /// Waits until a node that was asked to shut down has exited successfully.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not exit in time or exits with a failure.
    pub async fn wait_for_clean_exit(&mut self, node: Node) -> Result<(), Report<LabError>> {
        let status = self.wait_for_exit(node).await?;
        if status.success() {
            Ok(())
        } else {
            Err(Report::new(LabError::Process).attach(format!("{node} exited with {status}")))
        }
    }

    /// Pauses the process of a node.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not run.
    pub fn pause_node(&mut self, node: Node) -> Result<(), Report<LabError>> {
        self.live.remove(&node.to_string());
        self.process(node)?.signal(Signal::SIGSTOP)
    }

    /// Resumes a paused node.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not run.
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

    /// Kills an agent and starts an agent of another service at the same address.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no other service or a process does not become ready.
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

    /// Returns a description of each daemon that exited unexpectedly, with its exit status.
    pub fn unexpected_exits(&mut self) -> Vec<String> {
        let live = self.live.admin_addresses();
        let balancers = self.balancers.values_mut();
        let agents = self.agents.values_mut();
        balancers
            .chain(agents)
            .filter(|process| live.contains_key(process.name()))
            .filter_map(|process| {
                let status = process.exit_status()?;
                Some(format!("{} exited unexpectedly: {status}", process.name()))
            })
            .collect()
    }

    /// Waits until the process of a node has exited, with any status.
    pub(super) async fn wait_for_exit(
        &mut self,
        node: Node,
    ) -> Result<ExitStatus, Report<LabError>> {
        self.process(node)?.wait(STOP_TIMEOUT).await
    }

    /// Returns the process of a node.
    ///
    /// # Errors
    ///
    /// Returns an error if the node was never started.
    pub(super) fn process(&mut self, node: Node) -> Result<&mut ManagedProcess, Report<LabError>> {
        let process = match node.role {
            Role::Balancer => self.balancers.get_mut(&node.number),
            Role::Agent => self.agents.get_mut(node.to_string().as_str()),
        };
        process.ok_or_else(|| {
            Report::new(LabError::Process).attach(format!("{node} has not been started"))
        })
    }

    /// Removes a balancer from the fabric; has no effect for an agent.
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
