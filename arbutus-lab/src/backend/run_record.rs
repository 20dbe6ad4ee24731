use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// How a request ended at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// Not ended yet.
    #[serde(rename = "in-hand")]
    InProgress,
    /// Refused without a run.
    Shed,
    /// Its connection closed before it got a slot.
    Cancelled,
    /// Run, to the end.
    Ran,
}

/// One request as its backend server saw it; times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The id that the caller gave it.
    pub request: Arc<str>,
    /// Its idempotency key.
    pub key: Option<Arc<str>>,
    /// The service that the caller meant.
    #[serde(rename = "meant_for")]
    pub target_service: Arc<str>,
    /// When it came.
    pub arrived_us: u64,
    /// When it began to run; absent where it never did.
    pub started_us: Option<u64>,
    /// When it left the backend server's hands; not before it came.
    pub ended_us: Option<u64>,
    /// How it ended.
    #[serde(rename = "fate")]
    pub outcome: RunOutcome,
}

impl RunRecord {
    /// Records a request that has come.
    #[must_use]
    pub fn new(request: &str, meant_for: &str, arrived_us: u64) -> Self {
        Self {
            request: Arc::from(request),
            key: None,
            target_service: Arc::from(meant_for),
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

    /// Sets when it ran.
    #[must_use]
    pub const fn ran(mut self, started_us: u64, ended_us: u64) -> Self {
        self.started_us = Some(started_us);
        self.ended_us = Some(ended_us);
        self.outcome = RunOutcome::Ran;
        self
    }
}
