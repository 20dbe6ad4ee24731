use std::{net::SocketAddrV4, time::Duration};

use arbutus_core::time::Timestamp;
use indexmap::IndexMap;

/// How long a balancer counts as alive after its last datagram.
const FRESH: Duration = Duration::from_millis(500);
/// Balancers remembered at once.
const MAX_BALANCERS: usize = 64;
/// Callers remembered that use another than the service's usual address.
const MAX_OTHER_ADDRESSES: usize = 4_096;

/// How datagrams get back to callers: by which balancer, and from which service address.
#[derive(Debug, Default)]
pub(super) struct ReturnPath {
    /// When each balancer was last heard.
    balancers: IndexMap<SocketAddrV4, Timestamp>,
    /// The address that the service's callers use.
    usual: Option<SocketAddrV4>,
    /// Callers that use another, as they may while the service's address changes.
    others: IndexMap<SocketAddrV4, SocketAddrV4>,
}

impl ReturnPath {
    /// Notes that `balancer` brought a datagram of `caller` for `service`.
    pub(super) fn heard(
        &mut self,
        balancer: SocketAddrV4,
        caller: SocketAddrV4,
        service: SocketAddrV4,
        now: Timestamp,
    ) {
        if self.balancers.len() >= MAX_BALANCERS {
            self.balancers.retain(|_, heard| now.since(*heard) <= FRESH);
        }
        self.balancers.insert(balancer, now);
        if *self.usual.get_or_insert(service) == service {
            self.others.swap_remove(&caller);
            return;
        }
        if self.others.len() >= MAX_OTHER_ADDRESSES {
            // The bulk has moved to the new address by now.
            self.usual = Some(service);
            self.others.clear();
            return;
        }
        self.others.insert(caller, service);
    }

    /// The service address that `caller` uses.
    pub(super) fn service(&self, caller: SocketAddrV4) -> Option<SocketAddrV4> {
        self.others.get(&caller).copied().or(self.usual)
    }

    /// The balancer for a datagram to `caller`.
    ///
    /// One caller keeps one balancer while that is heard; of silent ones the last heard is taken.
    pub(super) fn balancer(&self, caller: SocketAddrV4, now: Timestamp) -> Option<SocketAddrV4> {
        let is_fresh = |heard: &Timestamp| now.since(*heard) <= FRESH;
        let fresh = self.balancers.values().filter(|it| is_fresh(it)).count();
        if fresh == 0 {
            let last = self.balancers.iter().max_by_key(|(_, heard)| **heard);
            return last.map(|(balancer, _)| *balancer);
        }
        let turn = usize::from(caller.port()) % fresh;
        let mut alive = self.balancers.iter().filter(|(_, it)| is_fresh(it));
        alive.nth(turn).map(|(balancer, _)| *balancer)
    }
}
