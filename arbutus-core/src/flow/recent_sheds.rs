use std::{collections::VecDeque, time::Duration};

use super::FlowPolicy;
use crate::time::Timestamp;

/// Maximum number of sheds that are counted at the same time.
const MAX_RECENT_SHEDS: usize = 256;

/// The requests that the backend server shed recently.
#[derive(Debug, Default)]
pub(super) struct RecentSheds {
    /// Times of the sheds, oldest first; never longer than [`MAX_RECENT_SHEDS`].
    times: VecDeque<Timestamp>,
}

impl RecentSheds {
    pub(super) fn record(&mut self, now: Timestamp) {
        if self.times.len() < MAX_RECENT_SHEDS {
            self.times.push_back(now);
        }
    }

    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.times.len()).unwrap_or(u32::MAX)
    }

    /// Removes sheds older than [`FlowPolicy::shed_ttl_ms`]. Returns whether there were any.
    pub(super) fn expire(&mut self, policy: &FlowPolicy, now: Timestamp) -> bool {
        let before = self.times.len();
        while self.next_expiry(policy).is_some_and(|at| at <= now) {
            self.times.pop_front();
        }
        self.times.len() < before
    }

    pub(super) fn next_expiry(&self, policy: &FlowPolicy) -> Option<Timestamp> {
        let oldest = self.times.front()?;
        Some(*oldest + Duration::from_millis(policy.shed_ttl_ms))
    }
}
