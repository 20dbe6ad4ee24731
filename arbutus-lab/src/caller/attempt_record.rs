use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The outcome of a request for its caller, as in the `arbutus-outcome` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// The request ran.
    Ran,
    /// The request did not run.
    NotRun,
    /// It is not known whether the request ran.
    Unknown,
}

impl RequestOutcome {
    /// Parses the value of the `arbutus-outcome` header.
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

/// The end of an attempt for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptEnd {
    /// A complete answer arrived with the expected body.
    Right,
    /// A complete answer arrived that belongs to another request or is damaged.
    Wrong,
    /// A complete answer arrived whose status is not 200.
    Refused,
    /// The flow or stream ended before the answer was complete.
    Cut,
    /// No complete answer arrived by the deadline and its grace period.
    TimedOut,
    /// The request was not sent, or the server rejected it before processing it.
    NotSent,
}

/// The record of one attempt at a request; times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The ID of the attempt, which backend servers record.
    pub id: Arc<str>,
    /// The ID of the request.
    pub request: Arc<str>,
    /// The service that the request addresses.
    pub service: Arc<str>,
    /// The idempotency key; absent if the request is repeatable.
    pub key: Option<Arc<str>>,
    /// The ID of the flow that carried the attempt.
    pub flow: Arc<str>,
    /// The ID of the flow on which the caller received the binding that the attempt carries.
    #[serde(rename = "bound_by")]
    pub binding_flow: Option<Arc<str>>,
    /// When the attempt was sent.
    pub start_us: u64,
    /// When the attempt ended; not before it was sent.
    pub end_us: u64,
    /// The HTTP status of the answer.
    pub status: Option<u16>,
    /// The outcome that the answer reports.
    #[serde(rename = "told")]
    pub reported_outcome: Option<RequestOutcome>,
    /// The backend server that the answer names, or else one that has answered on the flow.
    pub backend: Option<Arc<str>>,
    /// How the attempt ended.
    pub end: AttemptEnd,
}
