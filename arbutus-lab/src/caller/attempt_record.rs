use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The outcome that an answer's header tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// The request ran.
    Ran,
    /// The request did not run.
    NotRun,
    /// Whether it ran is not known.
    Unknown,
}

impl RequestOutcome {
    /// Reads the header's value.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "ran" => Some(Self::Ran),
            "not-run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

/// How one attempt ended for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptEnd {
    /// A whole answer came, and it is the right one.
    Right,
    /// A whole answer came, and it belongs to another request or is damaged.
    Wrong,
    /// A whole answer came that says why there is no result.
    Refused,
    /// The flow or stream ended before a whole answer had come.
    Cut,
    /// No whole answer came by the deadline.
    TimedOut,
    /// The flow was leaving, and the request was never sent.
    NotSent,
}

/// One attempt at a request; times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Its own id, by which backend servers know it.
    pub id: Arc<str>,
    /// The request it belongs to.
    pub request: Arc<str>,
    /// The service it was meant for.
    pub service: Arc<str>,
    /// Its idempotency key.
    pub key: Option<Arc<str>>,
    /// The flow that carried it.
    pub flow: Arc<str>,
    /// The flow on which it got the binding that it carries.
    #[serde(rename = "bound_by")]
    pub binding_flow: Option<Arc<str>>,
    /// When it was sent.
    pub start_us: u64,
    /// When its end was known; not before it was sent.
    pub end_us: u64,
    /// The status of its answer.
    pub status: Option<u16>,
    /// The outcome it was told.
    #[serde(rename = "told")]
    pub reported_outcome: Option<RequestOutcome>,
    /// The backend server that its answer names.
    pub backend: Option<Arc<str>>,
    /// How it ended.
    pub end: AttemptEnd,
}
