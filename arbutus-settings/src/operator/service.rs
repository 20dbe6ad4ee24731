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

/// The range of concurrent requests at a backend server.
const SLOTS_RANGE: RangeInclusive<u64> = 1..=10_000;
/// The range of open connections to a backend server.
const CONNECTIONS_RANGE: RangeInclusive<u64> = 1..=1_000_000;
/// The range of queued requests at a backend server.
const QUEUE_RANGE: RangeInclusive<u64> = 0..=100_000;
/// The range of request deadlines, in milliseconds.
const DEADLINE_RANGE_MS: RangeInclusive<u64> = 1..=3_600_000;
/// The range of retry budgets, in retries per hundred requests.
const RETRY_PERCENT_RANGE: RangeInclusive<u64> = 0..=100;
/// The range of the ramp-up times of new agents, in milliseconds.
const RAMP_RANGE_MS: RangeInclusive<u64> = 0..=3_600_000;
/// The range of the TTLs of bindings, in milliseconds.
const BINDING_TTL_RANGE_MS: RangeInclusive<u64> = 1_000..=86_400_000;
/// The range of backend server weights, in percent.
const WEIGHT_PERCENT_RANGE: RangeInclusive<u64> = 1..=1_000;

/// The balance modes, by their names in the files.
const BALANCE_MODES: [(&str, BalanceMode); 2] =
    [("stay", BalanceMode::Stay), ("spread", BalanceMode::Spread)];
/// The states of backend servers, by their names in the files.
pub(super) const DESIRED_STATES: [(&str, DesiredState); 3] = [
    ("join", DesiredState::Join),
    ("drain", DesiredState::Drain),
    ("leave", DesiredState::Leave),
];

/// Reads the services from the merged value of all files.
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

/// A service with the locations that findings about the service name.
struct LocatedService {
    service: Service,
    name_location: Location,
    address_location: Location,
}

fn read_service(entry: &Entry, findings: &mut Findings) -> Option<LocatedService> {
    check_name(entry, findings);
    let mut reader = entry.node.reader(findings)?;
    let address = reader.required("address", service_address);
    let address_location = reader.node("address").map(|node| node.location.clone());
    let balance = reader.optional_or(
        "balance",
        BalanceMode::default(),
        scalar::choice(&BALANCE_MODES),
    );
    let requests = reader.optional_or("requests", RequestPolicy::new(), read_requests);
    let backend_servers =
        reader.optional_or("backend_servers", IndexMap::new(), read_backend_servers);
    reader.finish();
    Some(LocatedService {
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
        let message =
            format!("`{key}` must be an address that callers can reach, found `{address}`");
        findings.add(&node.location, message);
        return None;
    }
    Some(address)
}

fn read_requests(_: &str, node: &Node, findings: &mut Findings) -> Option<RequestPolicy> {
    let default = RequestPolicy::new();
    let mut reader = node.reader(findings)?;
    let mut number = |key, default, range| reader.optional_or(key, default, scalar::integer(range));
    let slots = number("slots", default.slots.into(), SLOTS_RANGE);
    let connections = number("connections", default.connections.into(), CONNECTIONS_RANGE);
    let queue = number("queue", default.queue.into(), QUEUE_RANGE);
    let deadline_ms = number("deadline_ms", default.deadline_ms, DEADLINE_RANGE_MS);
    let retry_percent = number(
        "retry_percent",
        default.retry_percent.into(),
        RETRY_PERCENT_RANGE,
    );
    let ramp_ms = number("ramp_ms", default.ramp_ms, RAMP_RANGE_MS);
    let binding_ms = number("binding_ms", default.binding_ms, BINDING_TTL_RANGE_MS);
    let paths = reader.optional_or("repeatable_paths", Vec::new(), scalar::list(absolute_path));
    reader.finish();
    Some(RequestPolicy {
        slots: to_u32(slots?)?,
        connections: to_u32(connections?)?,
        queue: to_u32(queue?)?,
        deadline_ms: deadline_ms?,
        retry_percent: to_u32(retry_percent?)?,
        ramp_ms: ramp_ms?,
        binding_ms: binding_ms?,
        repeatable_paths: paths?,
    })
}

fn absolute_path(key: &str, node: &Node, findings: &mut Findings) -> Option<Arc<str>> {
    let path = scalar::text(key, node, findings)?;
    if !path.starts_with('/') {
        let message = format!("`{key}` must contain paths that start with `/`, found `{path}`");
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
        let server = read_backend_server(&entry.node, findings)?;
        Some((entry.key.clone(), server))
    };
    let read: Vec<_> = entries.iter().map(read).collect();
    read.into_iter().collect()
}

fn read_backend_server(node: &Node, findings: &mut Findings) -> Option<BackendOverride> {
    let mut reader = node.reader(findings)?;
    let state = reader.optional_or(
        "state",
        DesiredState::default(),
        scalar::choice(&DESIRED_STATES),
    );
    let weight = reader.optional_or("weight_percent", None, |key, node, findings| {
        let weight = scalar::integer(WEIGHT_PERCENT_RANGE)(key, node, findings)?;
        to_u32(weight).map(Some)
    });
    reader.finish();
    Some(BackendOverride {
        state: state?,
        weight_percent: weight?,
    })
}

fn to_u32(number: u64) -> Option<u32> {
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

/// Adds a finding for each address that an earlier service already has.
fn check_addresses(services: &[LocatedService], findings: &mut Findings) {
    let mut seen = IndexMap::<SocketAddrV4, &LocatedService>::new();
    for located in services {
        if let Some(first) = seen.get(&located.service.address) {
            let message = format!(
                "service `{}` already has this address at {}",
                first.service.name, first.address_location
            );
            findings.add(&located.address_location, message);
            continue;
        }
        seen.insert(located.service.address, located);
    }
}

/// Returns the services by tag, and adds a finding for each tag that an earlier service already
/// has.
fn by_tag(services: Vec<LocatedService>, findings: &mut Findings) -> Services {
    let mut tagged = IndexMap::<ServiceTag, LocatedService>::new();
    for located in services {
        let tag = located.service.tag();
        if let Some(first) = tagged.get(&tag) {
            let message = format!(
                "the name has the same tag as `{}` at {}; choose another name",
                first.service.name, first.name_location
            );
            findings.add(&located.name_location, message);
            continue;
        }
        tagged.insert(tag, located);
    }
    let tagged = tagged.into_iter();
    tagged
        .map(|(tag, located)| (tag, Arc::new(located.service)))
        .collect()
}
