use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use arbutus_lab::admin::{self, Endpoint, Reply};
use http::{Method, StatusCode};
use serde_json::json;
use tokio::{net::TcpListener, task::JoinHandle};

/// A balancer and an agent, of which only the admin ports exist.
pub struct Nodes {
    pub balancer: Node,
    pub agent: Node,
}

/// A node's admin port.
pub struct Node {
    pub address: SocketAddr,
    /// The version that the node reports to have in force.
    pub version: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

/// The responses of an admin port.
struct AdminPort {
    role: &'static str,
    version: Arc<AtomicU64>,
    /// The admin ports of the balancer and the agent.
    addresses: [SocketAddr; 2],
}

impl Nodes {
    /// Starts both admin ports, which report `version` to be in force.
    pub async fn start(version: u64) -> Self {
        let listen = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let (balancer, agent) = (
            listen().await.expect("a free port"),
            listen().await.expect("a free port"),
        );
        let address = |it: &TcpListener| it.local_addr().expect("an address");
        let addresses = [address(&balancer), address(&agent)];
        Self {
            balancer: Node::start("balancer", balancer, addresses, version),
            agent: Node::start("agent", agent, addresses, version),
        }
    }
}

impl Node {
    fn start(
        role: &'static str,
        listener: TcpListener,
        addresses: [SocketAddr; 2],
        version: u64,
    ) -> Self {
        let address = listener.local_addr().expect("an address");
        let version = Arc::new(AtomicU64::new(version));
        let port = AdminPort {
            role,
            version: version.clone(),
            addresses,
        };
        Self {
            address,
            version,
            task: tokio::spawn(admin::serve(listener, Arc::new(port))),
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Endpoint for AdminPort {
    fn handle(&self, _: &Method, path: &str, _: &[u8]) -> Reply {
        let [balancer, agent] = self.addresses;
        match path {
            "/config" => Reply::json(&json!({
                "name": format!("{}-1", self.role),
                "role": self.role,
                "version": self.version.load(Ordering::Relaxed),
            })),
            "/roster" => Reply::json(&json!({
                "balancers": [{
                    "name": "balancer-1",
                    "admin": balancer,
                    "control": "127.0.0.1:1",
                    "failure_domain": "mvd-a",
                    "state": "ready",
                }],
                "agents": [{
                    "name": "lookup-1",
                    "service": "lookup",
                    "tunnel": "127.0.0.1:2",
                    "control": "127.0.0.1:3",
                    "admin": agent,
                    "failure_domain": "mvd-b",
                    "incarnation": 1,
                    "version": 1,
                    "state": "ready",
                    "weight_percent": 100,
                }],
            })),
            _ => Reply::error(StatusCode::NOT_FOUND, "no such page"),
        }
    }
}
