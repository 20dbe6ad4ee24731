use std::time::Duration;

use crate::{deployment::DeploymentOptions, events::Event};

/// What to try.
#[derive(Debug, Clone, PartialEq)]
pub struct ExperimentOptions {
    /// What to deploy.
    pub deployment: DeploymentOptions,
    /// Callers of the service under test; at least 1.
    pub callers: u32,
    /// Requests each second to the service under test; at least 1.
    pub rate: u32,
    /// How long new requests are made.
    pub duration: Duration,
    /// Share of requests that may not be repeated, in percent.
    pub post_percent: u32,
    /// What happens meanwhile.
    pub events: Vec<Event>,
    /// Whether the files of the deployment stay after the run.
    pub keep_files: bool,
}

impl ExperimentOptions {
    /// Ten seconds of a moderate load on `service`, with no events.
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
