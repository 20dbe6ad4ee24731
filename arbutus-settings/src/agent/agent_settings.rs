use std::{
    net::{SocketAddr, SocketAddrV4},
    path::Path,
    sync::Arc,
    time::Duration,
};

use arbutus_core::keys::KeyRing;
use error_stack::Report;

use crate::{
    SettingsError,
    document::Node,
    file,
    findings::Findings,
    keys, scalar, tls,
    tls::{ControlTls, Identity},
};

/// The settings that an agent reads at start, with its secrets loaded.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// The backend server's name as the operator's files use it; unique within the service.
    pub name: Arc<str>,
    /// The failure domain that the agent runs in.
    pub failure_domain: Arc<str>,
    /// The service whose flows the agent accepts.
    pub service: Arc<str>,
    /// The address on which the agent receives datagrams from balancers.
    pub tunnel_listen: SocketAddrV4,
    /// The address on which the agent accepts control connections.
    pub control_listen: SocketAddrV4,
    /// The address on which the agent serves metrics and state over HTTP.
    pub admin_listen: SocketAddr,
    /// The control addresses of some balancers; at least one.
    pub balancers: Vec<SocketAddrV4>,
    /// The address of the backend server, which serves HTTP/1.1.
    pub backend_server: SocketAddr,
    /// The system's secret keys.
    pub keys: KeyRing,
    /// The certificates for control connections.
    pub control_tls: ControlTls,
    /// The certificate that the agent presents to callers.
    pub service_tls: Identity,
    /// The grace period in which a planned stop waits for in-flight requests.
    pub stop_grace: Duration,
}

impl AgentSettings {
    /// The grace period of a planned stop when the settings don't set one.
    pub const DEFAULT_STOP_GRACE: Duration = Duration::from_secs(30);

    /// Loads the settings file at `path` and the secrets it names.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or has findings, which are all attached.
    pub fn load(path: &Path) -> Result<Self, Report<SettingsError>> {
        file::load(path, Self::read)
    }

    fn read(folder: &Path, node: &Node, findings: &mut Findings) -> Option<Self> {
        let mut reader = node.reader(findings)?;
        let name = reader.required("name", scalar::name);
        let failure_domain = reader.required("failure_domain", scalar::name);
        let service = reader.required("service", scalar::name);
        let tunnel_listen = reader.required("tunnel_listen", scalar::address_v4);
        let control_listen = reader.required("control_listen", scalar::address_v4);
        let admin_listen = reader.required("admin_listen", scalar::address);
        let balancers = reader.required("balancers", |key, node, findings| {
            let balancers = scalar::list(scalar::address_v4)(key, node, findings)?;
            if balancers.is_empty() {
                findings.add(
                    &node.location,
                    "`balancers` must name at least one balancer",
                );
            }
            Some(balancers)
        });
        let backend_server = reader.required("backend_server", scalar::address);
        let keys = reader.required("keys", keys::read_ring(folder));
        let control_tls = reader.required("control_tls", tls::read_control(folder));
        let service_tls = reader.required("service_tls", tls::read_identity(folder));
        let stop_grace = reader.optional_or(
            "stop_grace_ms",
            Self::DEFAULT_STOP_GRACE,
            scalar::duration_ms(0..=3_600_000),
        );
        reader.finish();
        Some(Self {
            name: name?,
            failure_domain: failure_domain?,
            service: service?,
            tunnel_listen: tunnel_listen?,
            control_listen: control_listen?,
            admin_listen: admin_listen?,
            balancers: balancers?,
            backend_server: backend_server?,
            keys: keys?,
            control_tls: control_tls?,
            service_tls: service_tls?,
            stop_grace: stop_grace?,
        })
    }
}
