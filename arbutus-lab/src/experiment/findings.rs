use std::sync::Arc;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::verdict::{Evidence, Verdict};

/// What a run left behind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The figures.
    pub verdict: Verdict,
    /// What went wrong besides: processes that ended by themselves, stops without an end.
    pub problems: Vec<String>,
    /// What the figures rest on.
    pub evidence: Evidence,
}

impl Outcome {
    /// Whether every promise held and nothing else went wrong.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.problems.is_empty() && self.verdict.violated_guarantees().is_empty()
    }
}

/// What the tasks of an experiment find out, shared by them.
#[derive(Debug, Clone, Default)]
pub struct Findings(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    changes: Vec<crate::verdict::Change>,
    problems: Vec<String>,
    /// The longest time so far.
    config_in_force_s: f64,
}

impl Findings {
    pub(super) fn change(&self, change: crate::verdict::Change) {
        self.0.lock().changes.push(change);
    }

    pub(super) fn record_problem(&self, text: String) {
        self.0.lock().problems.push(text);
    }

    pub(super) fn record_config_in_force(&self, seconds: f64) {
        let mut inner = self.0.lock();
        inner.config_in_force_s = inner.config_in_force_s.max(seconds);
    }

    pub(super) fn move_into(&self, evidence: &mut Evidence) -> Vec<String> {
        let mut inner = self.0.lock();
        evidence.changes = std::mem::take(&mut inner.changes);
        evidence.changes.sort_by_key(|change| change.at_us);
        evidence.measured.config_in_force_s = inner.config_in_force_s;
        std::mem::take(&mut inner.problems)
    }
}
