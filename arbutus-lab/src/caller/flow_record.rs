use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// How a flow ended for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FlowEnd {
    /// It was open when the load ended.
    Open,
    /// It never came about.
    NeverOpened,
    /// It ended with no request in progress, by a close that names no error.
    Graceful,
    /// It ended otherwise.
    Broken,
}

/// One flow as its caller saw it; times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowRecord {
    /// Its name.
    pub id: Arc<str>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// When the caller began to open it.
    pub opened_us: u64,
    /// When it ended; absent while it is open.
    pub closed_us: Option<u64>,
    /// The backend server that answered on it.
    pub backend: Option<Arc<str>>,
    /// How it ended.
    pub end: FlowEnd,
    /// The transport's word on its end.
    pub reason: String,
}
