use std::{path::Path, sync::Arc};

use error_stack::{Report, ResultExt};
use serde_json::Value;

use super::{
    AgentPlan, Binaries, Deployment, DeploymentOptions, Layout, ManagedProcess, layout,
    running::log_path,
};
use crate::{
    admin,
    backend::{BehaviourCommand, RunRecord},
    error::LabError,
    events::Node,
    fabric::FabricCommand,
    verdict::BackendJournal,
};

/// Commands and queries to the stand-ins.
impl Deployment {
    /// Sends a command to the fabric.
    ///
    /// # Errors
    ///
    /// Returns an error if the fabric does not accept the command.
    pub async fn send_fabric_command(
        &self,
        command: &FabricCommand,
    ) -> Result<(), Report<LabError>> {
        let admin = self.layout.fabric_admin().into();
        admin::post(admin, "/command", command).await.map(drop)
    }

    /// Injects a fault into the store, in the JSON form that the store stand-in accepts.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not accept the fault.
    pub async fn inject_store_fault(&self, fault: &Value) -> Result<(), Report<LabError>> {
        let store = self.layout.store().into();
        admin::put(store, "/lab/fault", fault).await.map(drop)
    }

    /// Sets the behaviour of the backend server beside an agent.
    ///
    /// # Errors
    ///
    /// Returns an error if the backend server does not run or does not accept the command.
    pub async fn set_backend_behaviour(
        &self,
        node: Node,
        command: BehaviourCommand,
    ) -> Result<(), Report<LabError>> {
        let host = self.layout.agent(node.number).host;
        let admin = layout::backend_admin(host).into();
        admin::post(admin, "/lab/behaviour", &command)
            .await
            .map(drop)
    }

    /// Returns the journals of all backend servers, including those that were replaced.
    ///
    /// # Errors
    ///
    /// Returns an error if a backend server does not answer.
    pub async fn backend_journals(&self) -> Result<Vec<BackendJournal>, Report<LabError>> {
        let mut journals = self.retired_journals.clone();
        for (plan, _) in self.backends.values() {
            journals.push(fetch_journal(plan).await?);
        }
        Ok(journals)
    }
}

/// Fetches the journal of a running backend server.
pub(super) async fn fetch_journal(plan: &AgentPlan) -> Result<BackendJournal, Report<LabError>> {
    let admin = layout::backend_admin(plan.host).into();
    let text = admin::get(admin, "/lab/journal").await?;
    let runs: Vec<RunRecord> = serde_json::from_str(&text).change_context(LabError::Admin)?;
    Ok(BackendJournal {
        name: Arc::clone(&plan.name),
        service: Arc::clone(&plan.service),
        runs,
    })
}

/// Starts the store and the fabric and waits until both are ready.
pub(super) async fn start_stand_ins(
    binaries: &Binaries,
    options: &DeploymentOptions,
    layout: &Layout,
    folder: &Path,
) -> Result<Vec<ManagedProcess>, Report<LabError>> {
    let store = [
        String::from("store"),
        format!("--listen={}", layout.store()),
    ];
    let mut fabric = vec![
        String::from("fabric"),
        format!("--egress={}", layout.egress()),
        format!("--admin={}", layout.fabric_admin()),
        format!("--seed={}", options.seed),
    ];
    for index in 0..options.services.len() {
        fabric.push(format!("--service={}", layout.service_address(index)));
    }
    let lab = &binaries.lab;
    let store_log = log_path(folder, "store");
    let fabric_log = log_path(folder, "fabric");
    Ok(vec![
        ManagedProcess::start_until_announced("store", lab, &store, &store_log).await?,
        ManagedProcess::start_until_announced("fabric", lab, &fabric, &fabric_log).await?,
    ])
}
