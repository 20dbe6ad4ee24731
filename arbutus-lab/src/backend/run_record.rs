use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The outcome of a request at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The request has not ended yet.
    #[serde(rename = "in-hand")]
    InProgress,
    /// The request was rejected without being run.
    Shed,
    /// The connection closed before the request got a slot.
    Cancelled,
    /// The request ran to its end.
    Ran,
}

/// The record of one request at its backend server; times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The ID that the caller gave to this attempt.
    pub request: Arc<str>,
    /// The idempotency key, if the request has one.
    pub key: Option<Arc<str>>,
    /// The service that the caller addressed.
    #[serde(rename = "meant_for")]
    pub target_service: Arc<str>,
    /// When the request arrived.
    pub arrived_us: u64,
    /// When the request began to run; absent if it never ran.
    pub started_us: Option<u64>,
    /// When the request ended; not before it arrived. Absent while it is in progress.
    pub ended_us: Option<u64>,
    /// How the request ended.
    #[serde(rename = "fate")]
    pub outcome: RunOutcome,
}

impl RunRecord {
    /// Creates the record of a request that has just arrived.
    #[must_use]
    pub fn new(request: &str, target_service: &str, arrived_us: u64) -> Self {
        Self {
            request: Arc::from(request),
            key: None,
            target_service: Arc::from(target_service),
            arrived_us,
            started_us: None,
            ended_us: None,
            outcome: RunOutcome::InProgress,
        }
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn key(mut self, key: Option<&str>) -> Self {
        self.key = key.map(Arc::from);
        self
    }

    /// Sets when the request ran, and its outcome to [`RunOutcome::Ran`].
    #[must_use]
    pub const fn ran(mut self, started_us: u64, ended_us: u64) -> Self {
        self.started_us = Some(started_us);
        self.ended_us = Some(ended_us);
        self.outcome = RunOutcome::Ran;
        self
    }
}
