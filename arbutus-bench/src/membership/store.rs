use std::{sync::Arc, time::Duration};

use arbutus_core::{
    config::{ConfigVersion, Snapshot},
    config_sync::StoreRead,
    membership::BalancerEvent,
    time::Timestamp,
};

/// Simulated store of the platform.
#[derive(Debug)]
pub(super) struct Store {
    /// The stored configuration.
    pub snapshot: Arc<Snapshot>,
    /// Reads received so far.
    pub calls: u64,
    /// Whether all reads fail.
    pub is_down: bool,
    /// Whether only the first watch is answered, as if the other readers were disconnected.
    pub answers_first_watch_only: bool,
    watches: Vec<Watch>,
}

/// A pending watch of a balancer.
#[derive(Debug)]
struct Watch {
    balancer: usize,
    since: ConfigVersion,
    until: Timestamp,
}

impl Store {
    /// Time after which a watch is answered without a change.
    const WATCH_TIMEOUT: Duration = Duration::from_secs(60);

    pub fn new(snapshot: Snapshot) -> Self {
        Self {
            snapshot: Arc::new(snapshot),
            calls: 0,
            is_down: false,
            answers_first_watch_only: false,
            watches: Vec::new(),
        }
    }

    /// Returns the number of pending watches.
    pub const fn watches(&self) -> usize {
        self.watches.len()
    }

    /// Answers a read, or keeps a watch pending if the configuration has not changed.
    pub fn read(
        &mut self,
        balancer: usize,
        read: StoreRead,
        now: Timestamp,
    ) -> Option<BalancerEvent> {
        self.calls += 1;
        let (since, is_watch) = match read {
            StoreRead::Watch(since) => (since, true),
            StoreRead::Poll(since) => (since, false),
        };
        if self.is_down {
            return Some(BalancerEvent::StoreUnreachable);
        }
        if self.snapshot.version > since && !self.answers_first_watch_only {
            return Some(BalancerEvent::ConfigRead(self.snapshot.clone()));
        }
        if !is_watch {
            return Some(BalancerEvent::ConfigUnchanged);
        }
        let until = now + Self::WATCH_TIMEOUT;
        self.watches.push(Watch {
            balancer,
            since,
            until,
        });
        None
    }

    /// Removes the watches that can be answered at `now` and returns their answers.
    pub fn take_due_answers(&mut self, now: Timestamp) -> Vec<(usize, BalancerEvent)> {
        let (snapshot, is_down) = (self.snapshot.clone(), self.is_down);
        let limit = if self.answers_first_watch_only {
            1
        } else {
            usize::MAX
        };
        let mut answers = Vec::new();
        self.watches.retain(|watch| {
            let event = if is_down {
                BalancerEvent::StoreUnreachable
            } else if answers.len() >= limit {
                return true;
            } else if snapshot.version > watch.since {
                BalancerEvent::ConfigRead(snapshot.clone())
            } else if now >= watch.until {
                BalancerEvent::ConfigUnchanged
            } else {
                return true;
            };
            answers.push((watch.balancer, event));
            false
        });
        answers
    }
}
