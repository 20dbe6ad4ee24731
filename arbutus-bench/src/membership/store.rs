use std::{sync::Arc, time::Duration};

use arbutus_core::{
    config::{ConfigVersion, Snapshot},
    config_sync::StoreRead,
    membership::BalancerEvent,
    time::Timestamp,
};

/// The platform's store, as far as the machines see it.
#[derive(Debug)]
pub(super) struct Store {
    pub snapshot: Arc<Snapshot>,
    pub calls: u64,
    pub is_down: bool,
    /// Whether only the first watch is answered, as if the other readers were cut off.
    pub answers_one: bool,
    watches: Vec<Watch>,
}

#[derive(Debug)]
struct Watch {
    balancer: usize,
    since: ConfigVersion,
    until: Timestamp,
}

impl Store {
    const WAIT: Duration = Duration::from_secs(60);

    pub fn new(snapshot: Snapshot) -> Self {
        Self {
            snapshot: Arc::new(snapshot),
            calls: 0,
            is_down: false,
            answers_one: false,
            watches: Vec::new(),
        }
    }

    pub const fn watches(&self) -> usize {
        self.watches.len()
    }

    /// Takes a read; a watch without news waits.
    pub fn read(
        &mut self,
        balancer: usize,
        read: StoreRead,
        now: Timestamp,
    ) -> Option<BalancerEvent> {
        self.calls += 1;
        let (since, waits) = match read {
            StoreRead::Watch(since) => (since, true),
            StoreRead::Poll(since) => (since, false),
        };
        if self.is_down {
            return Some(BalancerEvent::StoreUnreachable);
        }
        if self.snapshot.version > since && !self.answers_one {
            return Some(BalancerEvent::ConfigRead(self.snapshot.clone()));
        }
        if !waits {
            return Some(BalancerEvent::ConfigUnchanged);
        }
        let until = now + Self::WAIT;
        self.watches.push(Watch {
            balancer,
            since,
            until,
        });
        None
    }

    /// Answers to watches that are due.
    pub fn due(&mut self, now: Timestamp) -> Vec<(usize, BalancerEvent)> {
        let (snapshot, is_down) = (self.snapshot.clone(), self.is_down);
        let limit = if self.answers_one { 1 } else { usize::MAX };
        let mut due = Vec::new();
        self.watches.retain(|watch| {
            let event = if is_down {
                BalancerEvent::StoreUnreachable
            } else if due.len() >= limit {
                return true;
            } else if snapshot.version > watch.since {
                BalancerEvent::ConfigRead(snapshot.clone())
            } else if now >= watch.until {
                BalancerEvent::ConfigUnchanged
            } else {
                return true;
            };
            due.push((watch.balancer, event));
            false
        });
        due
    }
}
