use std::sync::Arc;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::{AttemptRecord, FlowRecord, RequestOutcome};

/// One request over all its attempts; times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Its id.
    pub id: Arc<str>,
    /// The service it was meant for.
    pub service: Arc<str>,
    /// When it was due to be sent.
    pub due_us: u64,
    /// When its outcome was known.
    pub end_us: u64,
    /// Its outcome for the caller.
    pub outcome: RequestOutcome,
}

/// Everything that callers wrote down.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CallerJournal {
    /// All requests.
    pub requests: Vec<RequestRecord>,
    /// All attempts at them.
    pub attempts: Vec<AttemptRecord>,
    /// All flows.
    pub flows: Vec<FlowRecord>,
}

impl CallerJournal {
    /// Adds what other callers wrote down.
    pub fn extend(&mut self, other: Self) {
        self.requests.extend(other.requests);
        self.attempts.extend(other.attempts);
        self.flows.extend(other.flows);
    }
}

/// A journal that the tasks of a load share.
pub(super) type SharedJournal = Arc<Mutex<CallerJournal>>;
