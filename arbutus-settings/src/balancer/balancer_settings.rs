use std::{
    net::{SocketAddr, SocketAddrV4},
    path::Path,
    sync::Arc,
};

use arbutus_core::keys::KeyRing;
use error_stack::Report;

use crate::{
    SettingsError, document::Node, file, findings::Findings, keys, scalar, store::StoreSettings,
    tls, tls::ControlTls,
};

/// The settings that a balancer reads at start, with its secrets loaded.
#[derive(Debug, Clone)]
pub struct BalancerSettings {
    /// The balancer's name; unique among balancers.
    pub name: Arc<str>,
    /// The failure domain that the balancer runs in.
    pub failure_domain: Arc<str>,
    /// The address on which the balancer receives datagrams from the fabric.
    pub fabric_listen: SocketAddrV4,
    /// The source addresses from which fabric datagrams are accepted.
    pub fabric_sources: Vec<SocketAddrV4>,
    /// The address on which the balancer receives datagrams from agents.
    pub tunnel_listen: SocketAddrV4,
    /// The address on which the balancer accepts control connections.
    pub control_listen: SocketAddrV4,
    /// The address on which the balancer serves metrics and state over HTTP.
    pub admin_listen: SocketAddr,
    /// The control addresses of some other balancers; empty for the first balancer.
    pub peers: Vec<SocketAddrV4>,
    /// The connection to the platform's key-value service.
    pub store: StoreSettings,
    /// The system's secret keys.
    pub keys: KeyRing,
    /// The certificates for control connections.
    pub control_tls: ControlTls,
    /// The number of data path workers; at least 1.
    pub workers: usize,
}

impl BalancerSettings {
    /// The number of data path workers when the settings don't set one.
    pub const DEFAULT_WORKERS: usize = 2;

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
        let fabric_listen = reader.required("fabric_listen", scalar::address_v4);
        let fabric_sources = reader.required("fabric_sources", scalar::list(scalar::address_v4));
        let tunnel_listen = reader.required("tunnel_listen", scalar::address_v4);
        let control_listen = reader.required("control_listen", scalar::address_v4);
        let admin_listen = reader.required("admin_listen", scalar::address);
        let peers = reader.optional_or("peers", Vec::new(), scalar::list(scalar::address_v4));
        let store = reader.required("store", StoreSettings::read);
        let keys = reader.required("keys", keys::read_ring(folder));
        let control_tls = reader.required("control_tls", tls::read_control(folder));
        let workers = reader.optional_or(
            "workers",
            Self::DEFAULT_WORKERS as u64,
            scalar::integer(1..=64),
        );
        reader.finish();
        Some(Self {
            name: name?,
            failure_domain: failure_domain?,
            fabric_listen: fabric_listen?,
            fabric_sources: fabric_sources?,
            tunnel_listen: tunnel_listen?,
            control_listen: control_listen?,
            admin_listen: admin_listen?,
            peers: peers?,
            store: store?,
            keys: keys?,
            control_tls: control_tls?,
            workers: usize::try_from(workers?).ok()?,
        })
    }
}
