use std::{
    collections::BTreeMap,
    fs,
    net::{Ipv4Addr, SocketAddrV4},
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use error_stack::{Report, ResultExt};
use nix::sys::signal::Signal;
use serde_json::Value;
use tokio::time;

use super::{
    AgentPlan, Binaries, DeploymentOptions, Layout, LiveNodes, LoopbackNetwork, ManagedProcess,
    Operator, layout, settings_files,
};
use crate::{
    admin,
    backend::{BehaviourCommand, RunRecord},
    error::LabError,
    events::{Node, Role},
    fabric::FabricCommand,
    verdict::BackendJournal,
};

/// How long the fabric takes to notice that a balancer is gone, in milliseconds.
const NOTICE_MS: u64 = 1_000;
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const READY_POLL: Duration = Duration::from_millis(50);
const STOP_LIMIT: Duration = Duration::from_secs(60);
/// Balancers that an agent is told of at its start.
const INTRODUCED: usize = 3;

/// A running deployment; all its processes end with it.
#[derive(Debug)]
pub struct Deployment {
    layout: Layout,
    binaries: Binaries,
    options: DeploymentOptions,
    operator: Operator,
    live: LiveNodes,
    balancers: BTreeMap<u32, ManagedProcess>,
    agents: BTreeMap<Arc<str>, ManagedProcess>,
    backends: BTreeMap<Arc<str>, (AgentPlan, ManagedProcess)>,
    /// What backend servers wrote down that are gone.
    retired: Vec<BackendJournal>,
    /// The fabric and the store.
    _stand_ins: Vec<ManagedProcess>,
    /// Dropped last, so that no process misses its files.
    folder: tempfile::TempDir,
}

impl Deployment {
    /// Starts everything and waits until all balancers know all agents.
    ///
    /// # Errors
    ///
    /// Fails where a process cannot be started or does not become ready.
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
        Operator::make_keys(&binaries.operator, &keys, &names).await?;
        let live = LiveNodes::default();
        let files = folder.path().join("services");
        let operator = Operator::new(&binaries.operator, &files, &layout, &live)?;
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
            retired: Vec::new(),
            _stand_ins: stand_ins,
            folder,
        };
        deployment.start_nodes().await?;
        Ok(deployment)
    }

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

    /// Starts a balancer and tells the fabric of it.
    ///
    /// # Errors
    ///
    /// Fails where it does not become ready.
    pub async fn start_balancer(&mut self, number: u32) -> Result<(), Report<LabError>> {
        let name: Arc<str> = Arc::from(Node::balancer(number).to_string());
        let host = self.layout.balancer(number);
        let peers: Vec<_> = self.balancer_hosts(number).take(INTRODUCED).collect();
        let settings =
            settings_files::write_balancer(self.folder.path(), &self.layout, number, &peers)?;
        let args = [PathBuf::from("--config"), settings];
        let log = log(self.folder.path(), &name);
        let process = ManagedProcess::start(&name, &self.binaries.balancer, &args, &log)?;
        self.balancers.insert(number, process);
        let admin = layout::admin_listen(host);
        self.wait_for_health(admin, &name).await?;
        self.live.add(&name, admin);
        let address = layout::fabric_listen(host);
        self.fabric(&FabricCommand::AddBalancer { address }).await
    }

    /// Starts an agent, and its backend server where that does not run.
    ///
    /// # Errors
    ///
    /// Fails where one of them does not become ready.
    pub async fn start_agent(&mut self, plan: AgentPlan) -> Result<(), Report<LabError>> {
        if !self.backends.contains_key(&plan.name) {
            let process = self.start_backend(&plan).await?;
            let name = Arc::clone(&plan.name);
            self.backends.insert(name, (plan.clone(), process));
        }
        let balancers: Vec<_> = self.balancer_hosts(0).take(INTRODUCED).collect();
        let folder = self.folder.path();
        let settings = settings_files::write_agent(folder, &self.layout, &plan, &balancers)?;
        let args = [PathBuf::from("--config"), settings];
        let log = log(folder, &plan.name);
        let agent = ManagedProcess::start(&plan.name, &self.binaries.agent, &args, &log)?;
        let admin = layout::admin_listen(plan.host);
        let name = Arc::clone(&plan.name);
        self.agents.insert(Arc::clone(&name), agent);
        self.wait_for_health(admin, &name).await?;
        self.live.add(&name, admin);
        Ok(())
    }

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
        let log = log(self.folder.path(), &name);
        ManagedProcess::start_announced(&name, &self.binaries.lab, &args, &log).await
    }

    /// Starts a node that does not run, perhaps a new one.
    ///
    /// # Errors
    ///
    /// Fails where it does not become ready.
    pub async fn start_node(&mut self, node: Node) -> Result<(), Report<LabError>> {
        match node.role {
            Role::Balancer => self.start_balancer(node.number).await,
            Role::Agent => self.start_agent(self.layout.agent(node.number)).await,
        }
    }

    /// Ends a node at once.
    ///
    /// # Errors
    ///
    /// Fails where it does not run.
    pub async fn kill_node(&mut self, node: Node) -> Result<(), Report<LabError>> {
        self.live.remove(&node.to_string());
        self.process(node)?.kill().await?;
        self.fabric_notices(node).await
    }

    /// Asks a node to end; it ends when it sees fit.
    ///
    /// # Errors
    ///
    /// Fails where it does not run.
    pub async fn stop_node(&mut self, node: Node) -> Result<(), Report<LabError>> {
        self.live.remove(&node.to_string());
        self.process(node)?.signal(Signal::SIGTERM)?;
        self.fabric_notices(node).await
    }

    /// Waits until nodes that were asked to end have ended.
    ///
    /// # Errors
    ///
    /// Fails where one does not end, or ends with a failure.
    pub async fn wait_for_stopped(&mut self, node: Node) -> Result<(), Report<LabError>> {
        let status = self.process(node)?.wait(STOP_LIMIT).await?;
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
            Role::Balancer => self.layout.balancer(node.number),
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
            self.retired.push(journal(&plan).await?);
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

    /// Tells the fabric something.
    ///
    /// # Errors
    ///
    /// Fails where it does not obey.
    pub async fn fabric(&self, command: &FabricCommand) -> Result<(), Report<LabError>> {
        let admin = self.layout.fabric_admin().into();
        admin::post(admin, "/command", command).await.map(drop)
    }

    /// Makes the store misbehave as its stand-in reads it.
    ///
    /// # Errors
    ///
    /// Fails where it does not obey.
    pub async fn store(&self, fault: &Value) -> Result<(), Report<LabError>> {
        let store = self.layout.store().into();
        admin::put(store, "/lab/fault", fault).await.map(drop)
    }

    /// Tells the backend server beside an agent how to behave.
    ///
    /// # Errors
    ///
    /// Fails where it does not run or does not obey.
    pub async fn backend(
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

    /// What all backend servers wrote down.
    ///
    /// # Errors
    ///
    /// Fails where one does not answer.
    pub async fn journals(&self) -> Result<Vec<BackendJournal>, Report<LabError>> {
        let mut journals = self.retired.clone();
        for (plan, _) in self.backends.values() {
            journals.push(journal(plan).await?);
        }
        Ok(journals)
    }

    /// Which node has which address.
    #[must_use]
    pub const fn layout(&self) -> &Layout {
        &self.layout
    }

    /// The operator of the deployment.
    #[must_use]
    pub const fn operator(&self) -> &Operator {
        &self.operator
    }

    /// The daemons that run now.
    #[must_use]
    pub const fn live(&self) -> &LiveNodes {
        &self.live
    }

    /// The file with the certificate that callers trust.
    #[must_use]
    pub fn ca(&self) -> PathBuf {
        self.folder.path().join("keys/ca.pem")
    }

    /// The addresses of the balancers in a failure domain.
    #[must_use]
    pub fn balancers_in(&self, failure_domain: &str) -> Vec<Ipv4Addr> {
        let hosts = self.balancers.keys().map(|it| self.layout.balancer(*it));
        hosts
            .filter(|host| self.layout.failure_domain(*host) == failure_domain)
            .collect()
    }

    /// Keeps the files of the deployment after its end, and tells where.
    pub fn keep_files(&mut self) -> &Path {
        self.folder.disable_cleanup(true);
        self.folder.path()
    }

    /// Daemons that ended by themselves, each with its exit status.
    pub fn ended(&mut self) -> Vec<String> {
        let live = self.live.all();
        let balancers = self.balancers.values_mut();
        let agents = self.agents.values_mut();
        balancers
            .chain(agents)
            .filter(|process| live.contains_key(process.name()))
            .filter_map(|process| {
                let status = process.ended()?;
                Some(format!("{} ended by itself: {status}", process.name()))
            })
            .collect()
    }

    fn process(&mut self, node: Node) -> Result<&mut ManagedProcess, Report<LabError>> {
        let process = match node.role {
            Role::Balancer => self.balancers.get_mut(&node.number),
            Role::Agent => self.agents.get_mut(node.to_string().as_str()),
        };
        process.ok_or_else(|| Report::new(LabError::Process).attach(format!("no {node} runs")))
    }

    async fn fabric_notices(&self, node: Node) -> Result<(), Report<LabError>> {
        if node.role == Role::Agent {
            return Ok(());
        }
        let address = layout::fabric_listen(self.layout.balancer(node.number));
        let after_ms = NOTICE_MS;
        self.fabric(&FabricCommand::RemoveBalancer { address, after_ms })
            .await
    }

    /// The addresses of balancers other than the one numbered `except`.
    fn balancer_hosts(&self, except: u32) -> impl Iterator<Item = Ipv4Addr> {
        let live = self.live.all();
        let runs =
            move |number: &u32| live.contains_key(Node::balancer(*number).to_string().as_str());
        let others = self.balancers.keys().filter(move |it| **it != except);
        others
            .copied()
            .filter(runs)
            .map(|it| self.layout.balancer(it))
    }

    async fn wait_for_health(
        &mut self,
        admin: SocketAddrV4,
        name: &str,
    ) -> Result<(), Report<LabError>> {
        let ready = async {
            while admin::get(admin.into(), "/health").await.is_err() {
                time::sleep(READY_POLL).await;
            }
        };
        time::timeout(READY_TIMEOUT, ready)
            .await
            .change_context(LabError::NotReady)
            .attach_with(|| format!("{name}: see {}", log(self.folder.path(), name).display()))
    }

    /// Waits until every balancer knows every agent as ready.
    async fn wait_for_roster(&self) -> Result<(), Report<LabError>> {
        let agents = self.agents.len();
        let ready = async {
            for number in self.balancers.keys() {
                let admin = layout::admin_listen(self.layout.balancer(*number));
                while ready_agents(admin).await < agents {
                    time::sleep(READY_POLL).await;
                }
            }
        };
        time::timeout(READY_TIMEOUT, ready)
            .await
            .change_context(LabError::NotReady)
            .attach("the balancers do not know all agents")
    }
}

async fn journal(plan: &AgentPlan) -> Result<BackendJournal, Report<LabError>> {
    let admin = layout::backend_admin(plan.host).into();
    let text = admin::get(admin, "/lab/journal").await?;
    let runs: Vec<RunRecord> = serde_json::from_str(&text).change_context(LabError::Admin)?;
    Ok(BackendJournal {
        name: Arc::clone(&plan.name),
        service: Arc::clone(&plan.service),
        runs,
    })
}

async fn ready_agents(admin: SocketAddrV4) -> usize {
    let Ok(text) = admin::get(admin.into(), "/roster").await else {
        return 0;
    };
    let roster: Value = serde_json::from_str(&text).unwrap_or_default();
    let agents = roster["agents"].as_array().map_or(&[][..], Vec::as_slice);
    agents.iter().filter(|it| it["state"] == "ready").count()
}

async fn start_stand_ins(
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
        fabric.push(format!("--service={}", layout.service(index)));
    }
    let lab = &binaries.lab;
    let store_log = log(folder, "store");
    let fabric_log = log(folder, "fabric");
    Ok(vec![
        ManagedProcess::start_announced("store", lab, &store, &store_log).await?,
        ManagedProcess::start_announced("fabric", lab, &fabric, &fabric_log).await?,
    ])
}

fn log(folder: &Path, name: &str) -> PathBuf {
    folder.join("logs").join(format!("{name}.log"))
}
