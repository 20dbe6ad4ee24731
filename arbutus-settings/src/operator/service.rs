use std::{net::SocketAddrV4, ops::RangeInclusive, sync::Arc};

use arbutus_core::{
    apply::Services,
    config::{BackendOverride, BalanceMode, DesiredState, RequestPolicy, Service},
    ident::ServiceTag,
};
use indexmap::IndexMap;

use crate::{
    document::{Entry, Node},
    findings::{Findings, Location},
    scalar,
};

/// Requests that may run at once at a backend server.
const SLOTS: RangeInclusive<u64> = 1..=10_000;
/// Connections that may be open at a backend server.
const CONNECTIONS: RangeInclusive<u64> = 1..=1_000_000;
/// Requests that may wait at a backend server.
const QUEUE: RangeInclusive<u64> = 0..=100_000;
/// Deadlines of requests, in milliseconds.
const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Retries for each hundred requests.
const RETRY_PERCENT: RangeInclusive<u64> = 0..=100;
/// Ramps of new agents, in milliseconds.
const RAMP_MS: RangeInclusive<u64> = 0..=3_600_000;
/// Validity of bindings, in milliseconds.
const BINDING_MS: RangeInclusive<u64> = 1_000..=86_400_000;
/// Weights of backend servers, in percent.
const WEIGHT_PERCENT: RangeInclusive<u64> = 1..=1_000;

const BALANCES: [(&str, BalanceMode); 2] =
    [("stay", BalanceMode::Stay), ("spread", BalanceMode::Spread)];
/// States of backend servers by the words of the files.
pub(super) const STATES: [(&str, DesiredState); 3] = [
    ("join", DesiredState::Join),
    ("drain", DesiredState::Drain),
    ("leave", DesiredState::Leave),
];

/// Reads the merged value of all files.
pub(super) fn read_services(root: &Node, findings: &mut Findings) -> Option<Services> {
    let mut reader = root.reader(findings)?;
    let services = reader.required("services", |_, node, findings| {
        let entries = node.entries(findings)?;
        let read = |entry: &Entry| read_service(entry, findings);
        let services: Vec<_> = entries.iter().filter_map(read).collect();
        check_addresses(&services, findings);
        Some(by_tag(services, findings))
    });
    reader.finish();
    services
}

/// A service with the locations that findings about it name.
struct Placed {
    service: Service,
    name_location: Location,
    address_location: Location,
}

fn read_service(entry: &Entry, findings: &mut Findings) -> Option<Placed> {
    check_name(entry, findings);
    let mut reader = entry.node.reader(findings)?;
    let address = reader.required("address", service_address);
    let address_location = reader.node("address").map(|node| node.location.clone());
    let balance = reader.optional_or("balance", BalanceMode::default(), scalar::choice(&BALANCES));
    let requests = reader.optional_or("requests", RequestPolicy::new(), read_requests);
    let backend_servers =
        reader.optional_or("backend_servers", IndexMap::new(), read_backend_servers);
    reader.finish();
    Some(Placed {
        service: Service {
            name: entry.key.clone(),
            address: address?,
            balance: balance?,
            requests: requests?,
            backend_servers: backend_servers?,
        },
        name_location: entry.location.clone(),
        address_location: address_location?,
    })
}

fn service_address(key: &str, node: &Node, findings: &mut Findings) -> Option<SocketAddrV4> {
    let address = scalar::address_v4(key, node, findings)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        let message = format!("`{key}` must be one that callers can reach, found `{address}`");
        findings.add(&node.location, message);
        return None;
    }
    Some(address)
}

fn read_requests(_: &str, node: &Node, findings: &mut Findings) -> Option<RequestPolicy> {
    let default = RequestPolicy::new();
    let mut reader = node.reader(findings)?;
    let mut number = |key, default, range| reader.optional_or(key, default, scalar::integer(range));
    let slots = number("slots", default.slots.into(), SLOTS);
    let connections = number("connections", default.connections.into(), CONNECTIONS);
    let queue = number("queue", default.queue.into(), QUEUE);
    let deadline_ms = number("deadline_ms", default.deadline_ms, DEADLINE_MS);
    let retry_percent = number("retry_percent", default.retry_percent.into(), RETRY_PERCENT);
    let ramp_ms = number("ramp_ms", default.ramp_ms, RAMP_MS);
    let binding_ms = number("binding_ms", default.binding_ms, BINDING_MS);
    let paths = reader.optional_or("repeatable_paths", Vec::new(), scalar::list(path));
    reader.finish();
    Some(RequestPolicy {
        slots: narrow(slots?)?,
        connections: narrow(connections?)?,
        queue: narrow(queue?)?,
        deadline_ms: deadline_ms?,
        retry_percent: narrow(retry_percent?)?,
        ramp_ms: ramp_ms?,
        binding_ms: binding_ms?,
        repeatable_paths: paths?,
    })
}

fn path(key: &str, node: &Node, findings: &mut Findings) -> Option<Arc<str>> {
    let path = scalar::text(key, node, findings)?;
    if !path.starts_with('/') {
        let message = format!("`{key}` must hold paths that begin with `/`, found `{path}`");
        findings.add(&node.location, message);
        return None;
    }
    Some(path)
}

type BackendServers = IndexMap<Arc<str>, BackendOverride>;

fn read_backend_servers(_: &str, node: &Node, findings: &mut Findings) -> Option<BackendServers> {
    let entries = node.entries(findings)?;
    let read = |entry: &Entry| {
        check_name(entry, findings);
        let wanted = read_backend_server(&entry.node, findings)?;
        Some((entry.key.clone(), wanted))
    };
    let read: Vec<_> = entries.iter().map(read).collect();
    read.into_iter().collect()
}

fn read_backend_server(node: &Node, findings: &mut Findings) -> Option<BackendOverride> {
    let mut reader = node.reader(findings)?;
    let state = reader.optional_or("state", DesiredState::default(), scalar::choice(&STATES));
    let weight = reader.optional_or("weight_percent", None, |key, node, findings| {
        let weight = scalar::integer(WEIGHT_PERCENT)(key, node, findings)?;
        narrow(weight).map(Some)
    });
    reader.finish();
    Some(BackendOverride {
        state: state?,
        weight_percent: weight?,
    })
}

fn narrow(number: u64) -> Option<u32> {
    u32::try_from(number).ok()
}

fn check_name(entry: &Entry, findings: &mut Findings) {
    if !scalar::is_name(&entry.key) {
        let message = format!(
            "a name must be 1 to 63 lower-case letters, digits and hyphens, found `{}`",
            entry.key
        );
        findings.add(&entry.location, message);
    }
}

fn check_addresses(services: &[Placed], findings: &mut Findings) {
    let mut seen = IndexMap::<SocketAddrV4, &Placed>::new();
    for placed in services {
        if let Some(first) = seen.get(&placed.service.address) {
            let message = format!(
                "service `{}` has this address too, at {}",
                first.service.name, first.address_location
            );
            findings.add(&placed.address_location, message);
            continue;
        }
        seen.insert(placed.service.address, placed);
    }
}

fn by_tag(services: Vec<Placed>, findings: &mut Findings) -> Services {
    let mut tagged = IndexMap::<ServiceTag, Placed>::new();
    for placed in services {
        let tag = placed.service.tag();
        if let Some(first) = tagged.get(&tag) {
            let message = format!(
                "the name has the same tag as `{}` at {}; choose another",
                first.service.name, first.name_location
            );
            findings.add(&placed.name_location, message);
            continue;
        }
        tagged.insert(tag, placed);
    }
    let plain = tagged.into_iter();
    plain
        .map(|(tag, placed)| (tag, Arc::new(placed.service)))
        .collect()
}
