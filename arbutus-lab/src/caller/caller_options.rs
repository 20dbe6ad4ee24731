use std::{net::SocketAddrV4, path::PathBuf, sync::Arc, time::Duration};

/// What load to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerOptions {
    /// The service's address.
    pub target: SocketAddrV4,
    /// The service's name.
    pub service: Arc<str>,
    /// The file with the certificate of the authority that callers trust.
    pub ca: PathBuf,
    /// Callers, each with a session of its own; at least 1.
    pub callers: u32,
    /// Requests each second over all callers; at least 1.
    pub rate: u32,
    /// How long new requests are made.
    pub duration: Duration,
    /// Share of requests that may not be repeated, in percent.
    pub post_percent: u32,
    /// Time that a request is given.
    pub deadline: Duration,
    /// Seed of the random choices.
    pub seed: u64,
    /// Distinguishes the ids of this load from those of others.
    pub label: Arc<str>,
}

impl CallerOptions {
    /// A small load on `service`.
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
