//! The settings files of the daemons.

use std::{
    fs,
    net::Ipv4Addr,
    path::{Path, PathBuf},
};

use error_stack::{Report, ResultExt};
use serde_json::{Value, json};

use super::{AgentPlan, Layout, layout};
use crate::error::LabError;

/// Number of data path workers of each balancer.
const BALANCER_WORKERS: u32 = 1;
/// Timeout of a balancer's requests to the store, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 1_000;
/// Poll interval of a balancer at the store, in milliseconds.
const STORE_POLL_MS: u64 = 2_000;
/// Grace period of an agent that shuts down, in milliseconds.
const STOP_GRACE_MS: u64 = 10_000;

/// Writes the settings of a balancer into `folder`.
pub(super) fn write_balancer(
    folder: &Path,
    layout: &Layout,
    number: u32,
    peers: &[Ipv4Addr],
) -> Result<PathBuf, Report<LabError>> {
    let host = layout.balancer_host(number);
    let settings = json!({
        "name": format!("balancer-{number}"),
        "failure_domain": layout.failure_domain(host),
        "fabric_listen": layout::fabric_listen(host),
        "fabric_sources": [layout.egress()],
        "tunnel_listen": layout::tunnel_listen(host),
        "control_listen": layout::control_listen(host),
        "admin_listen": layout::admin_listen(host),
        "peers": control_addresses(peers),
        "store": {
            "url": format!("http://{}", layout.store()),
            "timeout_ms": STORE_TIMEOUT_MS,
            "poll_ms": STORE_POLL_MS,
        },
        "keys": "keys/keys.jsonc",
        "control_tls": control_tls(),
        "workers": BALANCER_WORKERS,
    });
    write(folder, &format!("balancer-{number}"), &settings)
}

/// Writes the settings of an agent into `folder`.
pub(super) fn write_agent(
    folder: &Path,
    layout: &Layout,
    plan: &AgentPlan,
    balancers: &[Ipv4Addr],
) -> Result<PathBuf, Report<LabError>> {
    let service = &plan.service;
    let settings = json!({
        "name": plan.name,
        "failure_domain": layout.failure_domain(plan.host),
        "service": service,
        "tunnel_listen": layout::tunnel_listen(plan.host),
        "control_listen": layout::control_listen(plan.host),
        "admin_listen": layout::admin_listen(plan.host),
        "balancers": control_addresses(balancers),
        "backend_server": layout::backend_listen(plan.host),
        "keys": "keys/keys.jsonc",
        "control_tls": control_tls(),
        "service_tls": {
            "certificate": format!("keys/service-{service}.pem"),
            "key": format!("keys/service-{service}.key.pem"),
        },
        "stop_grace_ms": STOP_GRACE_MS,
    });
    write(folder, &plan.name, &settings)
}

fn control_addresses(hosts: &[Ipv4Addr]) -> Vec<Value> {
    let address = |host: &Ipv4Addr| json!(layout::control_listen(*host));
    hosts.iter().map(address).collect()
}

fn control_tls() -> Value {
    json!({
        "ca": "keys/ca.pem",
        "certificate": "keys/control.pem",
        "key": "keys/control.key.pem",
    })
}

fn write(folder: &Path, name: &str, settings: &Value) -> Result<PathBuf, Report<LabError>> {
    let path = folder.join(format!("{name}.jsonc"));
    fs::write(&path, format!("{settings:#}\n"))
        .change_context(LabError::File)
        .attach_with(|| path.display().to_string())?;
    Ok(path)
}
