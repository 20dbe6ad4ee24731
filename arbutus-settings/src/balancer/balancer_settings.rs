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

/// Everything a balancer is told at its start, with its secrets loaded.
#[derive(Debug, Clone)]
pub struct BalancerSettings {
    /// Its name; unique among balancers.
    pub name: Arc<str>,
    /// The failure domain it runs in.
    pub failure_domain: Arc<str>,
    /// Where it takes datagrams from the fabric.
    pub fabric_listen: SocketAddrV4,
    /// Addresses from which fabric datagrams are accepted.
    pub fabric_sources: Vec<SocketAddrV4>,
    /// Where it takes datagrams from agents.
    pub tunnel_listen: SocketAddrV4,
    /// Where it takes control connections.
    pub control_listen: SocketAddrV4,
    /// Where it serves metrics and state over HTTP.
    pub admin_listen: SocketAddr,
    /// Control addresses of some other balancers; empty for the first one.
    pub peers: Vec<SocketAddrV4>,
    /// The platform's key-value service.
    pub store: StoreSettings,
    /// The system's secret keys.
    pub keys: KeyRing,
    /// Certificates for control connections.
    pub control_tls: ControlTls,
    /// Workers of the data path; at least 1.
    pub workers: usize,
}

impl BalancerSettings {
    /// Workers of the data path where the settings name none.
    pub const DEFAULT_WORKERS: usize = 2;

    /// Loads the settings file at `path` and the secrets it names.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be read, or with all findings attached.
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
