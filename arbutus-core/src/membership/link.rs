use std::{net::SocketAddrV4, sync::Arc};

use indexmap::IndexSet;

use crate::{config::ConfigVersion, roster::MemberKey, time::Timestamp};

/// The state that a balancer keeps for a linked balancer.
#[derive(Debug)]
pub(super) struct Link {
    pub control: SocketAddrV4,
    pub failure_domain: Arc<str>,
    /// Whether this balancer opened the link.
    pub is_outbound: bool,
    pub last_received: Timestamp,
    pub last_sent: Timestamp,
    /// When the linked balancer was last probed because it was silent.
    pub last_probe: Timestamp,
    /// Keys of the records to send. Each is sent once, with the record's latest content.
    pub pending: IndexSet<MemberKey>,
    /// Consecutive keepalives with a roster digest different from this balancer's.
    pub mismatches: u32,
    /// The configuration in force at the linked balancer, once it has been reported.
    pub config_version: Option<ConfigVersion>,
    /// The configuration version last sent or announced over the link.
    pub offered_config_version: ConfigVersion,
    /// When `offered_config_version` was last sent or announced.
    pub config_offered_at: Timestamp,
}

impl Link {
    /// Limit on pending records; further changes are propagated by repair.
    const MAX_PENDING: usize = 4_096;

    pub fn new(
        control: SocketAddrV4,
        failure_domain: Arc<str>,
        is_outbound: bool,
        now: Timestamp,
    ) -> Self {
        Self {
            control,
            failure_domain,
            is_outbound,
            last_received: now,
            last_sent: Timestamp::ZERO,
            last_probe: now,
            pending: IndexSet::new(),
            mismatches: 0,
            config_version: None,
            offered_config_version: ConfigVersion::NONE,
            config_offered_at: Timestamp::ZERO,
        }
    }

    /// Queues a record, unless the queue is full.
    pub fn enqueue(&mut self, key: &MemberKey) {
        if self.pending.len() < Self::MAX_PENDING {
            self.pending.insert(key.clone());
        }
    }
}
