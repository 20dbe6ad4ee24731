use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The end of a flow for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FlowEnd {
    /// The flow was still open when the load ended.
    Open,
    /// The flow could not be opened.
    NeverOpened,
    /// The flow was closed without an error, with no request in progress.
    Graceful,
    /// The flow ended in any other way.
    Broken,
}

/// The record of one flow at its caller; times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowRecord {
    /// The ID of the flow.
    pub id: Arc<str>,
    /// The service to which the flow was opened.
    pub service: Arc<str>,
    /// When the caller began to open the flow.
    pub opened_us: u64,
    /// When the flow ended; absent while it is open.
    pub closed_us: Option<u64>,
    /// The backend server that answered last on the flow.
    pub backend: Option<Arc<str>>,
    /// How the flow ended.
    pub end: FlowEnd,
    /// The error with which the transport reported the end; empty while the flow is open.
    pub reason: String,
}
