use std::{collections::VecDeque, time::Duration};

use super::FlowPolicy;
use crate::time::Timestamp;

/// Most sheds that are counted at once.
const MAX_ENTRIES: usize = 256;

/// The requests that the backend server shed a short while ago.
#[derive(Debug, Default)]
pub(super) struct RecentSheds {
    /// Oldest first; never longer than [`MAX_ENTRIES`].
    at: VecDeque<Timestamp>,
}

impl RecentSheds {
    pub(super) fn record(&mut self, now: Timestamp) {
        if self.at.len() < MAX_ENTRIES {
            self.at.push_back(now);
        }
    }

    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.at.len()).unwrap_or(u32::MAX)
    }

    /// Forgets old sheds; tells whether there were any.
    pub(super) fn expire(&mut self, policy: &FlowPolicy, now: Timestamp) -> bool {
        let before = self.at.len();
        while self.next_expiry(policy).is_some_and(|at| at <= now) {
            self.at.pop_front();
        }
        self.at.len() < before
    }

    pub(super) fn next_expiry(&self, policy: &FlowPolicy) -> Option<Timestamp> {
        let oldest = self.at.front()?;
        Some(*oldest + Duration::from_millis(policy.shed_ms))
    }
}
