use std::sync::Arc;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::verdict::{Evidence, Verdict};

/// Outcome of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Figures of the run.
    pub verdict: Verdict,
    /// Problems that the figures do not cover, such as processes that exited unexpectedly or did
    /// not exit after a stop.
    pub problems: Vec<String>,
    /// Data that the figures are computed from.
    pub evidence: Evidence,
}

impl Outcome {
    /// Returns whether no guarantee was violated and no problem was recorded.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.problems.is_empty() && self.verdict.violated_guarantees().is_empty()
    }
}

/// Changes and problems that the tasks of an experiment record; clones share the same records.
#[derive(Debug, Clone, Default)]
pub struct Findings(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    changes: Vec<crate::verdict::Change>,
    problems: Vec<String>,
    /// Longest time until a configuration was in force everywhere so far, in seconds.
    config_in_force_s: f64,
}

impl Findings {
    /// Records a change of the deployment.
    pub(super) fn record_change(&self, change: crate::verdict::Change) {
        self.0.lock().changes.push(change);
    }

    /// Records a problem.
    pub(super) fn record_problem(&self, text: String) {
        self.0.lock().problems.push(text);
    }

    /// Records the time until a configuration was in force everywhere, in seconds.
    pub(super) fn record_config_in_force(&self, seconds: f64) {
        let mut inner = self.0.lock();
        inner.config_in_force_s = inner.config_in_force_s.max(seconds);
    }

    /// Moves the changes and measurements into `evidence` and returns the problems.
    pub(super) fn move_into(&self, evidence: &mut Evidence) -> Vec<String> {
        let mut inner = self.0.lock();
        evidence.changes = std::mem::take(&mut inner.changes);
        evidence.changes.sort_by_key(|change| change.at_us);
        evidence.measured.config_in_force_s = inner.config_in_force_s;
        std::mem::take(&mut inner.problems)
    }
}
