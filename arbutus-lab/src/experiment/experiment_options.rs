use std::time::Duration;

use crate::{deployment::DeploymentOptions, events::Event};

/// Options of an experiment.
#[derive(Debug, Clone, PartialEq)]
pub struct ExperimentOptions {
    /// Options of the deployment.
    pub deployment: DeploymentOptions,
    /// Number of callers of the service under test; at least 1.
    pub callers: u32,
    /// Requests per second to the service under test; at least 1.
    pub rate: u32,
    /// Time in which new requests are sent.
    pub duration: Duration,
    /// Share of requests that are not repeatable, in percent.
    pub post_percent: u32,
    /// Events that take place during the run.
    pub events: Vec<Event>,
    /// Whether the deployment's files are kept after the run.
    pub keep_files: bool,
}

impl ExperimentOptions {
    /// Creates options for ten seconds of moderate load on `service` without events.
    #[must_use]
    pub fn new(service: &str) -> Self {
        Self {
            deployment: DeploymentOptions::new(service),
            callers: 40,
            rate: 400,
            duration: Duration::from_secs(10),
            post_percent: 30,
            events: Vec::new(),
            keep_files: false,
        }
    }
}
