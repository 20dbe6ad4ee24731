//! Shares of the requests for each service address that a backend server has answered lately.

use std::{net::SocketAddrV4, time::Duration};

use indexmap::IndexMap;

use crate::time::Timestamp;

/// The recent requests for each service address at one agent.
///
/// Requests on open flows reach a backend server whatever its load, so that the callers of a service
/// address whose flows stay open displace those that open a flow for each request. The shares show
/// which service addresses get less than others.
#[derive(Debug, Default)]
pub(super) struct ServiceShares {
    addresses: IndexMap<SocketAddrV4, RecentRequests>,
    /// The start of the present window.
    window_started_at: Timestamp,
}

/// How the share of its requests that a service address gets compares with the others'.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ShareStanding {
    /// It gets a far smaller share than another service address.
    Starving,
    /// It gets about the same share as the others, or less.
    Even,
    /// It gets a larger share than another service address.
    Ahead,
}

/// The requests for one service address in the present window and the one before.
#[derive(Debug, Clone, Copy, Default)]
struct RecentRequests {
    present: RequestCounts,
    before: RequestCounts,
}

#[derive(Debug, Clone, Copy, Default)]
struct RequestCounts {
    offered: u32,
    answered: u32,
}

impl ServiceShares {
    /// The length of a window.
    const WINDOW: Duration = Duration::from_secs(1);

    /// The difference of two shares below which they count as equal. Requests that are being
    /// processed have been offered and not answered.
    const TOLERANCE: f64 = 0.1;

    /// The part of another service address's share below which a service address is starving.
    const STARVING_SHARE: f64 = 0.5;

    /// Records that the first agent of a new flow for `address` was asked to take it.
    pub(super) fn on_new_flow(&mut self, address: SocketAddrV4, now: Timestamp) {
        self.advance(now);
        let recent = self.addresses.entry(address).or_default();
        recent.present.offered += 1;
    }

    /// Records a further request on an open flow for `address`.
    pub(super) fn on_request(&mut self, address: SocketAddrV4, now: Timestamp) {
        self.advance(now);
        if let Some(recent) = self.addresses.get_mut(&address) {
            recent.present.offered += 1;
        }
    }

    /// Records the answer to a request for `address`.
    pub(super) fn on_answer(&mut self, address: SocketAddrV4, now: Timestamp) {
        self.advance(now);
        if let Some(recent) = self.addresses.get_mut(&address) {
            recent.present.answered += 1;
        }
    }

    /// Returns how the share of `address` compares with those of the others.
    pub(super) fn standing(&self, address: SocketAddrV4) -> ShareStanding {
        let Some(own) = self.addresses.get(&address).map(RecentRequests::share) else {
            return ShareStanding::Even;
        };
        let shares = || self.addresses.values().map(RecentRequests::share);
        if shares().any(|other| other * Self::STARVING_SHARE > own) {
            ShareStanding::Starving
        } else if shares().any(|other| other + Self::TOLERANCE < own) {
            ShareStanding::Ahead
        } else {
            ShareStanding::Even
        }
    }

    /// Starts a new window if the present one is over.
    fn advance(&mut self, now: Timestamp) {
        let age = now.since(self.window_started_at);
        if age < Self::WINDOW {
            return;
        }
        self.window_started_at = now;
        let keep_present = age < Self::WINDOW * 2;
        for recent in self.addresses.values_mut() {
            let before = std::mem::take(&mut recent.present);
            recent.before = if keep_present {
                before
            } else {
                RequestCounts::default()
            };
        }
        self.addresses.retain(|_, it| it.before.offered > 0);
    }
}

impl RecentRequests {
    fn share(&self) -> f64 {
        let offered = self.present.offered + self.before.offered;
        let answered = self.present.answered + self.before.answered;
        (f64::from(answered) / f64::from(offered.max(1))).min(1.0)
    }
}
