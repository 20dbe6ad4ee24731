use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use super::ServiceTime;

/// How to start a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendOptions {
    /// Its name.
    pub name: Arc<str>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Where it serves.
    pub listen: SocketAddrV4,
    /// The admin port.
    pub admin: SocketAddrV4,
    /// Requests that run at once; at least 1.
    pub slots: usize,
    /// How long requests run.
    pub service_time: ServiceTime,
    /// Seed of the random choices.
    pub seed: u64,
}

impl BackendOptions {
    /// A backend server of `service` on ports that the system chooses.
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
