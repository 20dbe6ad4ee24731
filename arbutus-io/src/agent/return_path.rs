use std::{net::SocketAddrV4, time::Duration};

use arbutus_core::time::Timestamp;
use indexmap::IndexMap;

/// Time without a datagram after which a balancer is no longer treated as alive.
const BALANCER_LIVENESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of recorded balancers at which those that are no longer alive are removed.
const MAX_BALANCERS: usize = 64;
/// Maximum number of callers with a service address other than the default one.
const MAX_SERVICE_OVERRIDES: usize = 4_096;

/// Selects the balancer and the service address for datagrams to callers.
#[derive(Debug, Default)]
pub(super) struct ReturnPath {
    /// When the last datagram from each balancer was received.
    last_received: IndexMap<SocketAddrV4, Timestamp>,
    /// The service address of all callers without an override.
    default_service: Option<SocketAddrV4>,
    /// Service addresses of callers that use another one, by caller.
    ///
    /// Both are in use while the service's address changes.
    service_overrides: IndexMap<SocketAddrV4, SocketAddrV4>,
}

impl ReturnPath {
    /// Records that `balancer` forwarded a datagram of `caller` to `service`.
    pub(super) fn record_datagram(
        &mut self,
        balancer: SocketAddrV4,
        caller: SocketAddrV4,
        service: SocketAddrV4,
        now: Timestamp,
    ) {
        if self.last_received.len() >= MAX_BALANCERS {
            self.last_received
                .retain(|_, received_at| now.since(*received_at) <= BALANCER_LIVENESS_TIMEOUT);
        }
        self.last_received.insert(balancer, now);
        if *self.default_service.get_or_insert(service) == service {
            self.service_overrides.swap_remove(&caller);
            return;
        }
        if self.service_overrides.len() >= MAX_SERVICE_OVERRIDES {
            // With this many overrides, most callers have moved to the new address.
            self.default_service = Some(service);
            self.service_overrides.clear();
            return;
        }
        self.service_overrides.insert(caller, service);
    }

    /// Returns the service address that `caller` uses.
    pub(super) fn service_address(&self, caller: SocketAddrV4) -> Option<SocketAddrV4> {
        self.service_overrides
            .get(&caller)
            .copied()
            .or(self.default_service)
    }

    /// Returns the balancer for a datagram to `caller`.
    ///
    /// The caller's port selects one of the live balancers, so that a caller keeps its balancer as
    /// long as the set of live ones does not change. If none is live, the balancer that most
    /// recently sent a datagram is used.
    pub(super) fn balancer_for(
        &self,
        caller: SocketAddrV4,
        now: Timestamp,
    ) -> Option<SocketAddrV4> {
        let is_live =
            |received_at: &Timestamp| now.since(*received_at) <= BALANCER_LIVENESS_TIMEOUT;
        let live_count = self.last_received.values().filter(|it| is_live(it)).count();
        if live_count == 0 {
            let last = self
                .last_received
                .iter()
                .max_by_key(|(_, received_at)| **received_at);
            return last.map(|(balancer, _)| *balancer);
        }
        let index = usize::from(caller.port()) % live_count;
        let mut live = self.last_received.iter().filter(|(_, it)| is_live(it));
        live.nth(index).map(|(balancer, _)| *balancer)
    }
}
