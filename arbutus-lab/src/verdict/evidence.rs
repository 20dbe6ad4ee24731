use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::Change;
use crate::{backend::RunRecord, caller::CallerJournal};

/// What one backend server wrote down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendJournal {
    /// The name that it shares with its agent.
    pub name: Arc<str>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// The requests that came to it.
    pub runs: Vec<RunRecord>,
}

/// What was read off the processes while they ran.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Measurements {
    /// Control bytes each second of each process, by its name.
    pub control_bytes_per_s: BTreeMap<Arc<str>, f64>,
    /// The longest time from a change of configuration until it was in force at every process.
    pub config_in_force_s: f64,
}

impl Measurements {
    /// Control bytes each second, of the process with the most.
    #[must_use]
    pub fn highest_control_bytes_per_s(&self) -> f64 {
        self.control_bytes_per_s
            .values()
            .copied()
            .fold(0.0, f64::max)
    }
}

/// Everything a verdict rests on; times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Evidence {
    /// The service whose balance is judged.
    pub service: Arc<str>,
    /// When the load began.
    pub started_us: u64,
    /// When the load ended; not before it began.
    pub ended_us: u64,
    /// What callers wrote down.
    pub callers: CallerJournal,
    /// What backend servers wrote down.
    pub backends: Vec<BackendJournal>,
    /// What was done meanwhile, in the order of time.
    pub changes: Vec<Change>,
    /// What was read off the processes.
    pub measured: Measurements,
}
