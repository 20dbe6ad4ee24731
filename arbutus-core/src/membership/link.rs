use std::{net::SocketAddrV4, sync::Arc};

use indexmap::IndexSet;

use crate::{config::ConfigVersion, roster::MemberKey, time::Timestamp};

/// What a balancer holds for another one to which it is linked.
#[derive(Debug)]
pub(super) struct Link {
    pub control: SocketAddrV4,
    pub failure_domain: Arc<str>,
    /// Whether this balancer opened it; else the other one did.
    pub is_opened: bool,
    pub last_heard: Timestamp,
    pub last_sent: Timestamp,
    /// When an answer was asked for because of silence.
    pub last_greeting: Timestamp,
    /// Records to send; each once, in its newest form.
    pub pending: IndexSet<MemberKey>,
    /// Keepalives in a row that told of another roster.
    pub mismatches: u32,
    /// The configuration in force there, once it is known.
    pub config_version: Option<ConfigVersion>,
    /// The configuration last sent there, and when.
    pub config_offered: ConfigVersion,
    pub config_offered_at: Timestamp,
}

impl Link {
    /// Records that wait for one link; further ones are left to repair.
    const PENDING: usize = 4_096;

    pub fn new(
        control: SocketAddrV4,
        failure_domain: Arc<str>,
        is_opened: bool,
        now: Timestamp,
    ) -> Self {
        Self {
            control,
            failure_domain,
            is_opened,
            last_heard: now,
            last_sent: Timestamp::ZERO,
            last_greeting: now,
            pending: IndexSet::new(),
            mismatches: 0,
            config_version: None,
            config_offered: ConfigVersion::NONE,
            config_offered_at: Timestamp::ZERO,
        }
    }

    pub fn enqueue(&mut self, key: &MemberKey) {
        if self.pending.len() < Self::PENDING {
            self.pending.insert(key.clone());
        }
    }
}
