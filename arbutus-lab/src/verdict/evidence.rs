use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::Change;
use crate::{backend::RunRecord, caller::CallerJournal};

/// Journal of one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendJournal {
    /// Name that the backend server shares with its agent.
    pub name: Arc<str>,
    /// Service that the backend server belongs to.
    pub service: Arc<str>,
    /// Requests that the backend server received.
    pub runs: Vec<RunRecord>,
}

/// Measurements that were taken from the processes while they ran.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Measurements {
    /// Rate of control traffic of each process in bytes per second, by process name.
    pub control_bytes_per_s: BTreeMap<Arc<str>, f64>,
    /// Longest time from a configuration change until it was in force at every process, in seconds.
    pub config_in_force_s: f64,
}

impl Measurements {
    /// Returns the highest rate of control traffic of any process, in bytes per second.
    #[must_use]
    pub fn highest_control_bytes_per_s(&self) -> f64 {
        self.control_bytes_per_s
            .values()
            .copied()
            .fold(0.0, f64::max)
    }
}

/// Data that a verdict is computed from, with times in microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Evidence {
    /// Service under test, whose load imbalance is measured.
    pub service: Arc<str>,
    /// Time at which the load began.
    pub started_us: u64,
    /// Time at which the load ended; at least `started_us`.
    pub ended_us: u64,
    /// Journals of the callers.
    pub callers: CallerJournal,
    /// Journals of the backend servers.
    pub backends: Vec<BackendJournal>,
    /// Changes that were made to the deployment during the run, ordered by time.
    pub changes: Vec<Change>,
    /// Measurements that were taken from the processes.
    pub measured: Measurements,
}
