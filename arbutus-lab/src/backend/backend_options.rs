use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use super::ServiceTime;

/// Start options of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendOptions {
    /// The name of the backend server, sent in the `x-backend-server` header.
    pub name: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The address on which it serves requests.
    pub listen: SocketAddrV4,
    /// The address of the admin port.
    pub admin: SocketAddrV4,
    /// Number of requests that may run at once; at least 1.
    pub slots: usize,
    /// The distribution of the time that a request runs.
    pub service_time: ServiceTime,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl BackendOptions {
    /// Creates options for a backend server of `service` on ports that the system chooses.
    #[must_use]
    pub fn new(name: &str, service: &str) -> Self {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        Self {
            name: Arc::from(name),
            service: Arc::from(service),
            listen: any,
            admin: any,
            slots: 5,
            service_time: ServiceTime::Exponential(Duration::from_millis(20)),
            seed: 0,
        }
    }
}
