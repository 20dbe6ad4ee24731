//! Names, addresses and configuration of a fleet's members.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use arbutus_core::{
    config::{ConfigVersion, Service, Snapshot},
    ident::Incarnation,
    membership::{AgentIdentity, BalancerIdentity},
};

/// Number of failure domains of a fleet.
pub const DOMAINS: usize = 10;
/// Number of failure domains of a region.
const DOMAINS_OF_REGION: usize = 2;
const CONTROL_PORT: u16 = 7_000;
const TUNNEL_PORT: u16 = 7_001;
const ADMIN_PORT: u16 = 7_002;

/// Returns the region of a failure domain.
pub const fn region(domain: usize) -> usize {
    domain / DOMAINS_OF_REGION
}

/// Returns the control address of the member with this number.
pub fn control(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(ip(number), CONTROL_PORT)
}

/// Returns the number of the member with this address.
pub const fn number(address: SocketAddrV4) -> usize {
    (address.ip().to_bits() & 0x00ff_ffff) as usize
}

fn ip(number: usize) -> Ipv4Addr {
    let low = u32::try_from(number).expect("member numbers fit into 32 bits");
    Ipv4Addr::from_bits(0x0a00_0000 | low)
}

/// Returns the name of a failure domain.
pub fn domain_name(domain: usize) -> Arc<str> {
    Arc::from(format!(
        "region-{}-{}",
        region(domain),
        domain % DOMAINS_OF_REGION
    ))
}

/// Returns the name of a service.
pub fn service_name(service: usize) -> Arc<str> {
    Arc::from(format!("service-{service:04}"))
}

/// Returns the identity of the balancer with this number.
pub fn balancer(number: usize, domain: usize, peers: Vec<SocketAddrV4>) -> BalancerIdentity {
    BalancerIdentity {
        name: Arc::from(format!("balancer-{number:05}")),
        failure_domain: domain_name(domain),
        control: control(number),
        tunnel: SocketAddrV4::new(ip(number), TUNNEL_PORT),
        admin_port: ADMIN_PORT,
        incarnation: Incarnation::new(1_780_000_000_000),
        peers,
    }
}

/// Returns the identity of the agent with this number.
pub fn agent(
    number: usize,
    domain: usize,
    service: usize,
    balancers: Vec<SocketAddrV4>,
) -> AgentIdentity {
    AgentIdentity {
        name: Arc::from(format!("backend-{number:05}")),
        failure_domain: domain_name(domain),
        service: service_name(service),
        tunnel: SocketAddrV4::new(ip(number), TUNNEL_PORT),
        control: control(number),
        admin_port: ADMIN_PORT,
        incarnation: Incarnation::new(1_780_000_000_000),
        balancers,
    }
}

/// Returns a configuration of `services` services, one of which depends on the version.
pub fn snapshot(services: usize, version: u64) -> Snapshot {
    let changed = usize::try_from(version).unwrap_or(0) % services.max(1);
    let services = (0..services).map(|index| {
        let low = u32::try_from(index).expect("service numbers fit into 32 bits");
        let address = SocketAddrV4::new(Ipv4Addr::from_bits(0x0b00_0000 | low), 443);
        let mut service = Service::new(&service_name(index), address);
        if index == changed {
            service.requests.queue += u32::try_from(version).unwrap_or(0);
        }
        service
    });
    Snapshot::new(ConfigVersion::new(version), services)
}
