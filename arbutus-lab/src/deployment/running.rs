use std::{
    collections::BTreeMap,
    fs,
    net::Ipv4Addr,
    path::{Path, PathBuf},
    sync::Arc,
};

use error_stack::{Report, ResultExt};

use super::{
    AgentPlan, Binaries, DeploymentOptions, Layout, LiveNodes, LoopbackNetwork, ManagedProcess,
    Operator, layout, settings_files, stand_ins::start_stand_ins,
};
use crate::{
    error::LabError,
    events::{Node, Role},
    fabric::FabricCommand,
    verdict::BackendJournal,
};

/// Maximum number of balancers that the settings of a new balancer or agent list.
const MAX_INITIAL_BALANCERS: usize = 3;

/// Running deployment, whose processes are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    pub(super) layout: Layout,
    binaries: Binaries,
    options: DeploymentOptions,
    operator: Operator,
    pub(super) live: LiveNodes,
    pub(super) balancers: BTreeMap<u32, ManagedProcess>,
    pub(super) agents: BTreeMap<Arc<str>, ManagedProcess>,
    pub(super) backends: BTreeMap<Arc<str>, (AgentPlan, ManagedProcess)>,
    /// Journals of backend servers that were replaced.
    pub(super) retired_journals: Vec<BackendJournal>,
    /// Processes of the fabric and the store.
    _stand_ins: Vec<ManagedProcess>,
    /// Last field, so that the files are removed only after the processes have been killed.
    pub(super) folder: tempfile::TempDir,
}

impl Deployment {
    /// Starts all processes and waits until every balancer lists every agent as ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not become ready.
    pub async fn start(
        binaries: Binaries,
        options: DeploymentOptions,
    ) -> Result<Self, Report<LabError>> {
        let network = LoopbackNetwork::claim()?;
        let layout = Layout::new(network, options.failure_domains, options.services.clone());
        let folder = tempfile::Builder::new()
            .prefix("arbutus-lab-")
            .tempdir()
            .change_context(LabError::File)?;
        fs::create_dir(folder.path().join("logs")).change_context(LabError::File)?;
        let names: Vec<&str> = options.services.iter().map(|it| &*it.name).collect();
        let keys = folder.path().join("keys");
        Operator::make_keys(&binaries.arbutusctl, &keys, &names).await?;
        let live = LiveNodes::default();
        let files = folder.path().join("services");
        let operator = Operator::new(&binaries.arbutusctl, &files, &layout, &live)?;
        let stand_ins = start_stand_ins(&binaries, &options, &layout, folder.path()).await?;
        let mut deployment = Self {
            layout,
            binaries,
            options,
            operator,
            live,
            balancers: BTreeMap::new(),
            agents: BTreeMap::new(),
            backends: BTreeMap::new(),
            retired_journals: Vec::new(),
            _stand_ins: stand_ins,
            folder,
        };
        deployment.start_nodes().await?;
        Ok(deployment)
    }

    /// Starts the balancers, applies the configuration and starts the agents.
    async fn start_nodes(&mut self) -> Result<(), Report<LabError>> {
        for number in 1..=self.options.balancers {
            self.start_balancer(number).await?;
        }
        self.operator.apply().await?;
        for plan in self.layout.agents() {
            self.start_agent(plan).await?;
        }
        self.wait_for_roster().await
    }

    /// Starts a balancer and adds it to the fabric.
    ///
    /// # Errors
    ///
    /// Returns an error if the balancer does not become ready.
    pub async fn start_balancer(&mut self, number: u32) -> Result<(), Report<LabError>> {
        let name: Arc<str> = Arc::from(Node::balancer(number).to_string());
        let host = self.layout.balancer_host(number);
        let peers: Vec<_> = self
            .live_balancer_hosts(number)
            .take(MAX_INITIAL_BALANCERS)
            .collect();
        let settings =
            settings_files::write_balancer(self.folder.path(), &self.layout, number, &peers)?;
        let args = [PathBuf::from("--config"), settings];
        let log = log_path(self.folder.path(), &name);
        let process = ManagedProcess::start(&name, &self.binaries.balancer, &args, &log)?;
        self.balancers.insert(number, process);
        let admin = layout::admin_listen(host);
        self.wait_for_health(admin, &name).await?;
        self.live.add(&name, admin);
        let address = layout::fabric_listen(host);
        self.send_fabric_command(&FabricCommand::AddBalancer { address })
            .await
    }

    /// Starts an agent, and its backend server if that does not run yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent or the backend server does not become ready.
    pub async fn start_agent(&mut self, plan: AgentPlan) -> Result<(), Report<LabError>> {
        if !self.backends.contains_key(&plan.name) {
            let process = self.start_backend(&plan).await?;
            let name = Arc::clone(&plan.name);
            self.backends.insert(name, (plan.clone(), process));
        }
        let balancers: Vec<_> = self
            .live_balancer_hosts(0)
            .take(MAX_INITIAL_BALANCERS)
            .collect();
        let folder = self.folder.path();
        let settings = settings_files::write_agent(folder, &self.layout, &plan, &balancers)?;
        let args = [PathBuf::from("--config"), settings];
        let log = log_path(folder, &plan.name);
        let agent = ManagedProcess::start(&plan.name, &self.binaries.agent, &args, &log)?;
        let admin = layout::admin_listen(plan.host);
        let name = Arc::clone(&plan.name);
        self.agents.insert(Arc::clone(&name), agent);
        self.wait_for_health(admin, &name).await?;
        self.live.add(&name, admin);
        Ok(())
    }

    /// Starts the backend server beside an agent.
    async fn start_backend(&self, plan: &AgentPlan) -> Result<ManagedProcess, Report<LabError>> {
        let seed = self.options.seed ^ u64::from(plan.host.to_bits());
        let args = [
            String::from("backend"),
            format!("--name={}", plan.name),
            format!("--service={}", plan.service),
            format!("--listen={}", layout::backend_listen(plan.host)),
            format!("--admin={}", layout::backend_admin(plan.host)),
            format!("--mean-ms={}", self.options.mean_service_ms),
            format!("--seed={seed}"),
        ];
        let name = format!("{}-backend", plan.name);
        let log = log_path(self.folder.path(), &name);
        ManagedProcess::start_until_announced(&name, &self.binaries.lab, &args, &log).await
    }

    /// Starts a new node, or starts an existing node again after its previous process has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the previous process does not exit in time or the node does not become
    /// ready.
    pub async fn start_node(&mut self, node: Node) -> Result<(), Report<LabError>> {
        if self.process(node).is_ok() {
            self.wait_for_exit(node).await?;
        }
        match node.role {
            Role::Balancer => self.start_balancer(node.number).await,
            Role::Agent => self.start_agent(self.layout.agent(node.number)).await,
        }
    }

    /// Returns the assignment of addresses to nodes.
    #[must_use]
    pub const fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Returns the operator of the deployment.
    #[must_use]
    pub const fn operator(&self) -> &Operator {
        &self.operator
    }

    /// Returns the running daemons.
    #[must_use]
    pub const fn live_nodes(&self) -> &LiveNodes {
        &self.live
    }

    /// Returns the path of the CA certificate that callers verify services with.
    #[must_use]
    pub fn ca_file(&self) -> PathBuf {
        self.folder.path().join("keys/ca.pem")
    }

    /// Returns the addresses of the balancers in a failure domain.
    #[must_use]
    pub fn balancers_in(&self, failure_domain: &str) -> Vec<Ipv4Addr> {
        let hosts = self
            .balancers
            .keys()
            .map(|it| self.layout.balancer_host(*it));
        hosts
            .filter(|host| self.layout.failure_domain(*host) == failure_domain)
            .collect()
    }

    /// Keeps the files of the deployment after its end and returns their folder.
    pub fn keep_files(&mut self) -> &Path {
        self.folder.disable_cleanup(true);
        self.folder.path()
    }

    /// Returns the addresses of the running balancers, without the one numbered `except`.
    fn live_balancer_hosts(&self, except: u32) -> impl Iterator<Item = Ipv4Addr> {
        let live = self.live.admin_addresses();
        let is_live =
            move |number: &u32| live.contains_key(Node::balancer(*number).to_string().as_str());
        let others = self.balancers.keys().filter(move |it| **it != except);
        others
            .copied()
            .filter(is_live)
            .map(|it| self.layout.balancer_host(it))
    }
}

/// Returns the path of the log file of a process.
pub(super) fn log_path(folder: &Path, name: &str) -> PathBuf {
    folder.join("logs").join(format!("{name}.log"))
}
