use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use crate::events::Node;

use super::LoopbackNetwork;

// Host numbers on the loopback network. Each range of hosts ends before the next one starts.
const FIRST_BALANCER_HOST: u8 = 1;
const MAX_BALANCERS: u32 = 39;
const FIRST_AGENT_HOST: u8 = 40;
const MAX_AGENTS: u32 = 100;
const FIRST_OTHER_AGENT_HOST: u8 = 140;
const MAX_OTHER_AGENTS: u32 = 50;
const FIRST_SERVICE_HOST: u8 = 200;
const FABRIC_HOST: u8 = 250;
const STORE_HOST: u8 = 251;

// Ports of the stand-ins.
const SERVICE_PORT: u16 = 4_433;
const EGRESS_PORT: u16 = 4_500;
const FABRIC_ADMIN_PORT: u16 = 4_501;
const STORE_PORT: u16 = 8_500;

// Ports of balancers, agents and backend servers.
const FABRIC_PORT: u16 = 4_433;
const TUNNEL_PORT: u16 = 4_434;
const CONTROL_PORT: u16 = 4_435;
const ADMIN_PORT: u16 = 4_436;
const BACKEND_PORT: u16 = 8_080;
const BACKEND_ADMIN_PORT: u16 = 8_081;

/// Service of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: Arc<str>,
    /// Number of agents, each with a backend server, at the start.
    pub agents: u32,
}

/// Agent with the backend server beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentPlan {
    /// Common name of the agent and the backend server.
    pub name: Arc<str>,
    /// Service that both belong to.
    pub service: Arc<str>,
    /// Address that both listen on.
    pub host: Ipv4Addr,
}

impl AgentPlan {
    /// Returns the address at which the backend server accepts requests.
    #[must_use]
    pub const fn backend_address(&self) -> SocketAddrV4 {
        backend_listen(self.host)
    }
}

/// Assignment of addresses to the nodes of a deployment.
#[derive(Debug)]
pub struct Layout {
    network: LoopbackNetwork,
    /// Number of failure domains.
    failure_domains: u32,
    /// At least one service, the one under test first.
    services: Vec<ServicePlan>,
}

impl Layout {
    /// Creates a layout of `services` on `network`, with nodes spread over `failure_domains`.
    #[must_use]
    pub const fn new(
        network: LoopbackNetwork,
        failure_domains: u32,
        services: Vec<ServicePlan>,
    ) -> Self {
        Self {
            network,
            failure_domains,
            services,
        }
    }

    /// Returns the services, the one under test first.
    #[must_use]
    pub fn services(&self) -> &[ServicePlan] {
        &self.services
    }

    /// Returns whether the layout has an address for `node`.
    #[must_use]
    pub const fn has_address_for(node: Node) -> bool {
        let max = match node.role {
            crate::events::Role::Balancer => MAX_BALANCERS,
            crate::events::Role::Agent => MAX_AGENTS,
        };
        node.number >= 1 && node.number <= max
    }

    /// Returns the address that callers of the service with this index use.
    #[must_use]
    pub fn service_address(&self, index: usize) -> SocketAddrV4 {
        let host = FIRST_SERVICE_HOST.saturating_add(u8::try_from(index).unwrap_or(u8::MAX));
        SocketAddrV4::new(self.network.host(host), SERVICE_PORT)
    }

    /// Returns the address of a balancer.
    #[must_use]
    pub fn balancer_host(&self, number: u32) -> Ipv4Addr {
        self.network
            .host(host_number(FIRST_BALANCER_HOST, number, MAX_BALANCERS))
    }

    /// Returns the plan of an agent of the service under test.
    #[must_use]
    pub fn agent(&self, number: u32) -> AgentPlan {
        AgentPlan {
            name: Arc::from(format!("agent-{number}")),
            service: Arc::clone(&self.services[0].name),
            host: self
                .network
                .host(host_number(FIRST_AGENT_HOST, number, MAX_AGENTS)),
        }
    }

    /// Returns the plan of an agent of another service, by the index of that service.
    #[must_use]
    pub fn other_agent(&self, service: usize, number: u32) -> AgentPlan {
        let before: u32 = self.services[1..service].iter().map(|it| it.agents).sum();
        let number = before + number;
        AgentPlan {
            name: Arc::from(format!("other-agent-{number}")),
            service: Arc::clone(&self.services[service].name),
            host: self.network.host(host_number(
                FIRST_OTHER_AGENT_HOST,
                number,
                MAX_OTHER_AGENTS,
            )),
        }
    }

    /// Returns all agents that the deployment starts with, those of the service under test first.
    #[must_use]
    pub fn agents(&self) -> Vec<AgentPlan> {
        let tested = (1..=self.services[0].agents).map(|number| self.agent(number));
        let others = self.services.iter().enumerate().skip(1);
        let others = others.flat_map(|(index, service)| {
            (1..=service.agents).map(move |number| self.other_agent(index, number))
        });
        tested.chain(others).collect()
    }

    /// Returns the failure domain of the node with this address.
    #[must_use]
    pub fn failure_domain(&self, host: Ipv4Addr) -> String {
        let number = u32::from(host.octets()[3]) % self.failure_domains.max(1) + 1;
        format!("zone-{number}")
    }

    /// Returns the source address of the fabric's datagrams to balancers.
    #[must_use]
    pub const fn egress(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.network.host(FABRIC_HOST), EGRESS_PORT)
    }

    /// Returns the admin address of the fabric.
    #[must_use]
    pub const fn fabric_admin(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.network.host(FABRIC_HOST), FABRIC_ADMIN_PORT)
    }

    /// Returns the address of the store.
    #[must_use]
    pub const fn store(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.network.host(STORE_HOST), STORE_PORT)
    }
}

/// Returns the address at which the balancer at `host` receives datagrams from the fabric.
#[must_use]
pub(super) const fn fabric_listen(host: Ipv4Addr) -> SocketAddrV4 {
    SocketAddrV4::new(host, FABRIC_PORT)
}

/// Returns the address at which the node at `host` receives tunnelled datagrams from other nodes.
#[must_use]
pub(super) const fn tunnel_listen(host: Ipv4Addr) -> SocketAddrV4 {
    SocketAddrV4::new(host, TUNNEL_PORT)
}

/// Returns the address at which the node at `host` accepts control connections.
#[must_use]
pub(super) const fn control_listen(host: Ipv4Addr) -> SocketAddrV4 {
    SocketAddrV4::new(host, CONTROL_PORT)
}

/// Returns the admin address of the node at `host`.
#[must_use]
pub(super) const fn admin_listen(host: Ipv4Addr) -> SocketAddrV4 {
    SocketAddrV4::new(host, ADMIN_PORT)
}

/// Returns the address at which the backend server at `host` accepts requests.
#[must_use]
pub(super) const fn backend_listen(host: Ipv4Addr) -> SocketAddrV4 {
    SocketAddrV4::new(host, BACKEND_PORT)
}

/// Returns the admin address of the backend server at `host`.
#[must_use]
pub(super) const fn backend_admin(host: Ipv4Addr) -> SocketAddrV4 {
    SocketAddrV4::new(host, BACKEND_ADMIN_PORT)
}

/// Returns the host number of node `number`, counted from 1, in a range of `max` hosts from
/// `first`.
fn host_number(first: u8, number: u32, max: u32) -> u8 {
    let offset = number.clamp(1, max) - 1;
    first.saturating_add(u8::try_from(offset).unwrap_or(u8::MAX))
}
