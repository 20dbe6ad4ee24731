//! The system's own processes, their settings and addresses.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddrV4, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{backend, http, record::Record};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;

/// The platform's pause before it starts an ended process again.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);

pub struct Fleet {
    net: u8,
    base: u16,
    folder: PathBuf,
    record: Record,
    processes: Vec<(String, Child)>,
}

impl Fleet {
    pub fn new(record: &Record) -> Self {
        let pid = std::process::id();
        let base = 21_000 + (pid % 700) as u16 * 20;
        let free = |net: u8| {
            let at = |port| (Ipv4Addr::new(127, net, 1, 1), port);
            (0..8).all(|it| TcpListener::bind(at(base + it)).is_ok())
                && TcpListener::bind(at(9_464)).is_ok()
        };
        let first = 40 + (pid % 100) as u8;
        let net = (first..first + 60)
            .find(|it| free(*it))
            .expect("there are free ports");
        let folder = std::env::temp_dir().join(format!("arbutus-review-{pid}"));
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        Self {
            net,
            base,
            folder,
            record: record.clone(),
            processes: Vec::new(),
        }
    }

    fn at(&self, role: u8, index: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, role, index), self.base + port)
    }

    pub fn store(&self) -> SocketAddrV4 {
        self.at(9, 9, 6)
    }

    pub fn callers(&self) -> SocketAddrV4 {
        self.at(3, 1, 0)
    }

    /// Returns the address to which routers send the packets for a balancer.
    pub fn balancer(&self, index: u8) -> SocketAddrV4 {
        self.at(1, index, 0)
    }

    /// Returns the control addresses of the two balancers, as a list of texts.
    fn seeds(&self) -> String {
        format!("\"{}\", \"{}\"", self.at(1, 1, 3), self.at(1, 2, 3))
    }

    pub fn start_balancer(&mut self, index: u8, zone: &str) {
        let at = |port| self.at(1, index, port);
        let settings = format!(
            "{{\"name\": \"edge-{zone}-{index}\", \"failure_domain\": \"{zone}\", \"callers_listen\": \"{}\",\
             \"readiness_listen\": \"{}\", \"control_listen\": \"{}\", \"peer_ports\": [{}],\
             \"seeds\": [{}], \"store\": \"{}\", \"grace_ms\": 6000}}",
            at(0),
            at(2),
            at(3),
            self.ports(),
            self.seeds(),
            self.store()
        );
        self.start("balancer", &format!("balancer-{index}"), &settings);
    }

    fn ports(&self) -> String {
        format!("{},{}", self.base + 10, self.base + 19)
    }

    pub fn start_agent(&mut self, index: u8, zone: &str) {
        let at = |port| self.at(2, index, port);
        let settings = format!(
            "{{\"failure_domain\": \"{zone}\", \"service\": \"lookup\", \"backend_server\": \"{}\",\
             \"backend_listen\": \"{}\", \"readiness_listen\": \"{}\", \"control_listen\": \"{}\",\
             \"callers_address\": \"{}\", \"peer_ports\": [{}], \"seeds\": [{}], \"store\": \"{}\",\
             \"heartbeat_ms\": 1200}}",
            at(4),
            at(5),
            at(2),
            at(3),
            at(0),
            self.ports(),
            self.seeds(),
            self.store()
        );
        self.start("agent", &format!("agent-{index}"), &settings);
    }

    pub fn backend(&self, index: u8, id: &str, zone: &str, born: u64) -> backend::Config {
        backend::Config {
            id: id.to_owned(),
            service: "lookup".to_owned(),
            zone: zone.to_owned(),
            app: self.at(2, index, 4),
            outbound: self.at(2, index, 5),
            control: self.at(2, index, 3),
            born,
            heartbeat: Duration::from_millis(1_200),
        }
    }

    fn start(&mut self, role: &str, name: &str, settings: &str) {
        let path = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings).expect("the settings file is writable");
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log is writable");
        let child = Command::new("target/release/arbutusstage")
            .arg(role)
            .env_clear()
            .env("ARBUTUSSTAGE_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log is writable"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file can be started");
        self.record
            .line(&format!("{name} starts as process {}", child.id()));
        self.processes.push((name.to_owned(), child));
    }

    /// Waits until the readiness endpoint of a process answers with 200.
    pub fn wait_ready(&self, role: u8, index: u8) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let status = http::call(self.at(role, index, 2), "GET", "/arbutusstage/readyz", "");
            if status.is_ok_and(|it| it == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Stops a process with SIGTERM, and waits until it has ended and may start again.
    pub fn stop(&mut self, name: &str) {
        let at = self
            .processes
            .iter()
            .position(|it| it.0 == name)
            .expect("the process runs");
        let (_, mut child) = self.processes.remove(at);
        self.record.line(&format!("{name} gets SIGTERM"));
        // SAFETY: the process is a child of this one that has not been waited for.
        unsafe { kill(child.id() as i32, SIGTERM) };
        let status = child.wait();
        self.record.line(&format!("{name} has ended: {status:?}"));
        thread::sleep(RESTART_DELAY);
    }

    /// Returns whether a process has ended by itself.
    pub fn any_ended(&mut self) -> bool {
        self.processes
            .iter_mut()
            .any(|(_, it)| !matches!(it.try_wait(), Ok(None)))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
