//! A model of the platform's store as the state machines use it.

use std::{sync::Arc, time::Duration};

use arbutus_core::{
    config::{ConfigVersion, Service, Snapshot},
    config_sync::StoreRead,
    membership::BalancerEvent,
    time::Timestamp,
};

/// The current configuration, and the watches waiting for the next one.
#[derive(Debug, Default)]
pub struct Store {
    pub snapshot: Arc<Snapshot>,
    pub is_down: bool,
    pub calls: u64,
    watches: Vec<Watch>,
}

#[derive(Debug)]
struct Watch {
    balancer: String,
    since: ConfigVersion,
    until: Timestamp,
}

impl Store {
    const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

    /// Replaces the configuration with the next version.
    pub fn apply(&mut self, services: Vec<Service>) {
        let version = self.snapshot.version.next();
        self.snapshot = Arc::new(Snapshot::new(version, services));
    }

    /// Handles a read; a watch without a newer configuration waits.
    pub fn read(
        &mut self,
        balancer: &str,
        read: StoreRead,
        now: Timestamp,
    ) -> Option<BalancerEvent> {
        self.calls += 1;
        let since = match read {
            StoreRead::Watch(since) | StoreRead::Poll(since) => since,
        };
        let balancer = balancer.to_owned();
        match read {
            _ if self.is_down => Some(BalancerEvent::StoreUnreachable),
            _ if self.snapshot.version > since => {
                Some(BalancerEvent::ConfigRead(self.snapshot.clone()))
            }
            StoreRead::Poll(_) => Some(BalancerEvent::ConfigUnchanged),
            StoreRead::Watch(_) => {
                let until = now + Self::WATCH_TIMEOUT;
                self.watches.push(Watch {
                    balancer,
                    since,
                    until,
                });
                None
            }
        }
    }

    /// Returns the answers to watches that are due.
    pub fn due(&mut self, now: Timestamp) -> Vec<(String, BalancerEvent)> {
        let mut due = Vec::new();
        self.watches.retain(|watch| {
            let event = if self.is_down {
                BalancerEvent::StoreUnreachable
            } else if self.snapshot.version > watch.since {
                BalancerEvent::ConfigRead(self.snapshot.clone())
            } else if now >= watch.until {
                BalancerEvent::ConfigUnchanged
            } else {
                return true;
            };
            due.push((watch.balancer.clone(), event));
            false
        });
        due
    }
}
