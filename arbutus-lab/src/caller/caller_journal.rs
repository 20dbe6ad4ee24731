use std::sync::Arc;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::{AttemptRecord, FlowRecord, RequestOutcome};

/// The record of a request over all its attempts; times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The ID of the request.
    pub id: Arc<str>,
    /// The service that the request addresses.
    pub service: Arc<str>,
    /// When the request was due to be sent.
    pub due_us: u64,
    /// When the outcome was known.
    pub end_us: u64,
    /// The outcome for the caller.
    pub outcome: RequestOutcome,
}

/// The records of callers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CallerJournal {
    /// The requests.
    pub requests: Vec<RequestRecord>,
    /// The attempts at these requests.
    pub attempts: Vec<AttemptRecord>,
    /// The flows.
    pub flows: Vec<FlowRecord>,
}

impl CallerJournal {
    /// Appends the records of other callers.
    pub fn extend(&mut self, other: Self) {
        self.requests.extend(other.requests);
        self.attempts.extend(other.attempts);
        self.flows.extend(other.flows);
    }
}

/// A journal that the tasks of one load share.
pub(super) type SharedJournal = Arc<Mutex<CallerJournal>>;
