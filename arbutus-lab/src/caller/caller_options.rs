use std::{net::SocketAddrV4, path::PathBuf, sync::Arc, time::Duration};

/// The load to generate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerOptions {
    /// The address of the service.
    pub target: SocketAddrV4,
    /// The name of the service.
    pub service: Arc<str>,
    /// The file with the certificate of the authority that signs the service's certificate.
    pub ca: PathBuf,
    /// Number of callers, each with a session of its own; at least 1.
    pub callers: u32,
    /// Requests per second over all callers; at least 1.
    pub rate: u32,
    /// How long new requests are generated.
    pub duration: Duration,
    /// Share of POST requests, which may run only once, in percent; the others are repeatable.
    pub post_percent: u32,
    /// Time from when a request is due until its deadline.
    pub deadline: Duration,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Prefix that distinguishes the IDs of this load from those of other loads.
    pub label: Arc<str>,
}

impl CallerOptions {
    /// Creates options for a small load on `service`.
    #[must_use]
    pub fn new(target: SocketAddrV4, service: &str, ca: PathBuf) -> Self {
        Self {
            target,
            service: Arc::from(service),
            ca,
            callers: 4,
            rate: 40,
            duration: Duration::from_secs(5),
            post_percent: 50,
            deadline: Duration::from_secs(5),
            seed: 0,
            label: Arc::from(service),
        }
    }
}
