//! A small deployment on loopback addresses: the project's processes, and the stand-ins beside them.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    backend::{Backend, BackendConfig, Run},
    caller::Caller,
    record::Record,
    store::Store,
};

/// The commands of the deploy file.
const PROGRAM: &str = "target/release/arbutusstage";

pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
pub const SERVICE: &str = "lookup";
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// The ids of the processes that this program has started and not yet ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this program has started.
pub fn end_started_processes() {
    for id in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub caller: Caller,
    pub runs: Arc<Mutex<Vec<Run>>>,
    net: u8,
    port: u16,
    balancers: u8,
    seeds: u8,
    folder: PathBuf,
    processes: Vec<(String, Child)>,
}

impl Deployment {
    /// Starts the store with a configuration, and then balancers and agents.
    pub fn start(
        record: Arc<Record>,
        config: &str,
        balancers: u8,
        agents: u8,
        watch_limit: Option<usize>,
    ) -> Result<Deployment, String> {
        Self::start_with_seeds(record, config, [balancers, balancers], agents, watch_limit)
    }

    /// Starts a number of balancers, while the settings name another number of them as seeds.
    pub fn start_with_seeds(
        record: Arc<Record>,
        config: &str,
        [balancers, seeds]: [u8; 2],
        agents: u8,
        watch_limit: Option<usize>,
    ) -> Result<Deployment, String> {
        let (net, port) = free_net().ok_or("no free loopback addresses")?;
        let folder = std::env::temp_dir().join(format!("arbutus-case-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|it| it.to_string())?;
        let at = |host: [u8; 2], port| SocketAddrV4::new(ip(net, host), port);
        let store = Store::start(at([9, 9], port + 9), watch_limit).map_err(|it| it.to_string())?;
        store.write("op/config", config);
        let caller = Caller::start(at([3, 1], port)).map_err(|it| it.to_string())?;
        let mut this = Deployment {
            record,
            store,
            caller,
            runs: Arc::default(),
            net,
            port,
            balancers,
            seeds,
            folder,
            processes: Vec::new(),
        };
        for index in 0..agents {
            this.start_agent(index)?;
        }
        for index in 0..balancers {
            this.start_balancer(index)?;
        }
        for index in 0..agents {
            this.wait_ready(this.agent_ip(index))?;
        }
        Ok(this)
    }

    fn at(&self, ip: Ipv4Addr, offset: u16) -> SocketAddrV4 {
        SocketAddrV4::new(ip, self.port + offset)
    }

    fn agent_ip(&self, index: u8) -> Ipv4Addr {
        ip(self.net, [2, index + 1])
    }

    fn balancer_ip(&self, index: u8) -> Ipv4Addr {
        ip(self.net, [1, index + 1])
    }

    /// A loopback address of this deployment that no process uses.
    pub fn spare_address(&self, index: u8) -> SocketAddrV4 {
        self.at(ip(self.net, [6, index + 1]), 4)
    }

    /// Where a balancer receives the packets of clients.
    pub fn balancer(&self, index: u8) -> SocketAddrV4 {
        self.at(self.balancer_ip(index), 0)
    }

    pub fn control(&self, agent: u8) -> SocketAddrV4 {
        self.at(self.agent_ip(agent), 4)
    }

    pub fn backend_config(&self, agent: u8, id: &str) -> BackendConfig {
        let ip = self.agent_ip(agent);
        BackendConfig {
            id: id.to_owned(),
            service: SERVICE.to_owned(),
            app: self.at(ip, 1),
            outbound: self.at(ip, 2),
            control: self.at(ip, 4),
            heartbeat_interval: HEARTBEAT_INTERVAL,
        }
    }

    pub fn start_backend(&self, config: BackendConfig) -> Result<Arc<Backend>, String> {
        // The address of a process that has just ended may take a moment to be free.
        let started_at = Instant::now();
        loop {
            let (runs, record) = (self.runs.clone(), self.record.clone());
            match Backend::start(config.clone(), runs, record) {
                Ok(backend) => return Ok(backend),
                Err(err) if started_at.elapsed() > START_TIMEOUT => return Err(err.to_string()),
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    fn seeds(&self) -> String {
        let address = |index| format!("\"{}\"", self.at(self.balancer_ip(index), 4));
        let seeds: Vec<String> = (0..self.seeds.min(3)).map(address).collect();
        seeds.join(", ")
    }

    pub fn start_balancer(&mut self, index: u8) -> Result<(), String> {
        let (ip, port) = (self.balancer_ip(index), self.port);
        let settings = format!(
            "{{\n  \"name\": \"edge-{index}\",\n  \"failure_domain\": \"zone-a\",\n  \
             \"callers_listen\": \"{}\",\n  \"readiness_listen\": \"{}\",\n  \
             \"control_listen\": \"{}\",\n  \"peer_ports\": [ {},{} ],\n  \"seeds\": [ {} ],\n  \
             \"store\": \"{}\",\n  \"grace_ms\": 6000\n}}\n",
            self.at(ip, 0),
            self.at(ip, 3),
            self.at(ip, 4),
            port + 5,
            port + 6,
            self.seeds(),
            self.store_address(),
        );
        self.start_process("balancer", &format!("balancer-{index}"), &settings)
    }

    pub fn start_agent(&mut self, index: u8) -> Result<(), String> {
        let (ip, port) = (self.agent_ip(index), self.port);
        let settings = format!(
            "{{\n  \"failure_domain\": \"zone-a\",\n  \"service\": \"{SERVICE}\",\n  \
             \"backend_server\": \"{}\",\n  \"backend_listen\": \"{}\",\n  \
             \"readiness_listen\": \"{}\",\n  \"control_listen\": \"{}\",\n  \
             \"callers_address\": \"{}\",\n  \"peer_ports\": [ {},{} ],\n  \"seeds\": [ {} ],\n  \
             \"store\": \"{}\",\n  \"heartbeat_ms\": {}\n}}\n",
            self.at(ip, 1),
            self.at(ip, 2),
            self.at(ip, 3),
            self.at(ip, 4),
            self.at(ip, 0),
            port + 5,
            port + 6,
            self.seeds(),
            self.store_address(),
            HEARTBEAT_INTERVAL.as_millis(),
        );
        self.start_process("agent", &format!("agent-{index}"), &settings)
    }

    fn store_address(&self) -> SocketAddrV4 {
        self.at(ip(self.net, [9, 9]), 9)
    }

    fn start_process(&mut self, role: &str, name: &str, settings: &str) -> Result<(), String> {
        let boot = self.folder.join(format!("{name}.conf"));
        fs::write(&boot, settings).map_err(|it| it.to_string())?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .map_err(|it| it.to_string())?;
        let errors = log.try_clone().map_err(|it| it.to_string())?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .env("ARBUTUSSTAGE_BOOT", &boot)
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn()
            .map_err(|it| format!("{PROGRAM}: {it}"))?;
        self.record.line(&format!("process {name} starts"));
        STARTED.lock().unwrap().push(child.id());
        self.processes.push((name.to_owned(), child));
        Ok(())
    }

    fn find(&mut self, name: &str) -> Option<usize> {
        self.processes.iter().position(|(it, _)| it == name)
    }

    /// Sends SIGTERM to a process, and waits for its end.
    pub fn stop(&mut self, name: &str) -> Result<(), String> {
        let index = self.find(name).ok_or("no such process")?;
        let (_, mut child) = self.processes.swap_remove(index);
        self.record.line(&format!("process {name} gets SIGTERM"));
        let sent = Command::new("kill")
            .args(["-TERM", &child.id().to_string()])
            .status();
        sent.map_err(|it| it.to_string())?;
        let status = child.wait().map_err(|it| it.to_string())?;
        STARTED.lock().unwrap().retain(|it| *it != child.id());
        self.record
            .line(&format!("process {name} has ended ({status})"));
        Ok(())
    }

    /// Returns whether all processes still run.
    pub fn all_run(&mut self) -> bool {
        self.processes
            .iter_mut()
            .all(|(_, child)| matches!(child.try_wait(), Ok(None)))
    }

    /// Waits until the control address of a process accepts connections.
    pub fn wait_control(&self, agent: u8) -> Result<(), String> {
        wait_for("the agent listens", || {
            TcpStream::connect(self.control(agent)).is_ok()
        })
    }

    pub fn wait_balancer(&self, index: u8) -> Result<(), String> {
        self.wait_ready(self.balancer_ip(index))
    }

    fn wait_ready(&self, ip: Ipv4Addr) -> Result<(), String> {
        wait_for("the process is ready", || is_ready(self.at(ip, 3)))
    }

    /// Waits until a balancer serves, and the store lists this number of agents.
    pub fn wait_serving(&self, agents: usize) -> Result<(), String> {
        for index in 0..self.balancers {
            self.wait_ready(self.balancer_ip(index))?;
        }
        wait_for("the agents are listed", || {
            self.store.keys("arbutus/agents/").len() == agents
        })?;
        thread::sleep(Duration::from_millis(1_500));
        Ok(())
    }

    /// Copies the lines of a process's log that contain one of `words` into the record.
    pub fn note_log(&self, name: &str, words: &[&str]) {
        let text = fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        for line in text
            .lines()
            .filter(|it| words.iter().any(|word| it.contains(word)))
        {
            let mut line = line.to_owned();
            line.truncate(240);
            self.record.line(&format!("log of {name}: {line}"));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn ip(net: u8, host: [u8; 2]) -> Ipv4Addr {
    Ipv4Addr::new(127, net, host[0], host[1])
}

fn free_net() -> Option<(u8, u16)> {
    let start = std::process::id();
    (0..40).find_map(|turn| {
        let net = u8::try_from(40 + (start + turn) % 160).ok()?;
        let port = u16::try_from(21_000 + (start * 7 + turn) % 900 * 10).ok()?;
        let free = |offset| TcpListener::bind((ip(net, [9, 9]), port + offset)).is_ok();
        (0..10).all(free).then_some((net, port))
    })
}

fn is_ready(address: SocketAddrV4) -> bool {
    let timeout = Duration::from_millis(500);
    crate::http::call(address, "GET", "/arbutusstage/readyz", "", timeout) == Some(200)
}

pub fn wait_for(what: &str, done: impl Fn() -> bool) -> Result<(), String> {
    let started_at = Instant::now();
    while started_at.elapsed() < START_TIMEOUT {
        if done() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err(format!("in vain: {what}"))
}

/// Returns a configuration as the operator writes it. `routes` are the service addresses.
pub fn config_text(version: u64, routes: &[SocketAddrV4]) -> String {
    let route = |it: &SocketAddrV4| {
        format!(
            "{{\"name\":\"r-{}-{}\",\"host\":\"{}\",\"prefix\":\"/{}/\",\"type\":\"idempotent\",\
             \"timeout_ms\":2500,\"target_latency_ms\":300,\"priority\":2,\
             \"service\":\"{SERVICE}\",\"max_attempts\":2}}",
            it.ip().octets()[3],
            it.port(),
            it.ip(),
            it.port()
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[],\
         \"limits\":{{\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}
